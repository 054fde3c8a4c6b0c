package version

import (
	"fmt"

	"github.com/goccy/go-yaml"

	"github.com/teaselrack/teaselrack/internal/fault"
)

// Export returns a release note in YAML that adds the whole content of s. The
// note has number 1: it recreates the content as the first note of a new mesh,
// and the mesh that it came from rejects it. The comment holds the number and
// digest of s.
func Export(s *State) ([]byte, error) {
	n := Note{
		Number:  1,
		Comment: fmt.Sprintf("export of state %d, digest %s", s.Number(), s.Digest()),
		Added:   s.Entries(),
	}
	b, err := yaml.Marshal(n)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "encode the exported note as YAML")
	}
	return b, nil
}
