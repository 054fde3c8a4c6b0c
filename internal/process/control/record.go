package control

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
)

// record adds an event of the control role to the timeline.
func (s *Service) record(name, format string, args ...any) {
	s.options.Recorder.Record(protocol.Event{Name: name, Detail: fmt.Sprintf(format, args...)})
}
