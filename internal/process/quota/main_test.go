package quota

import (
	"testing"

	"github.com/teaselrack/teaselrack/internal/process/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }
