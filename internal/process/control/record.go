package control

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// record adds an event of the control role to the time line.
func (s *Service) record(name, format string, args ...any) {
	s.o.Recorder.Record(protocol.Event{Name: name, Detail: fmt.Sprintf(format, args...)})
}
