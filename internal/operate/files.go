package operate

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	// secretMode keeps keys and certificates to their owner.
	secretMode = 0o600
	folderMode = 0o700

	authorityName   = "ca"
	certificateKind = ".pem"
	keyKind         = ".key"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// PairFiles names the files of one certificate and key.
type PairFiles struct {
	Certificate string
	Key         string
}

// InitMesh creates a mesh authority and writes it to dir, as ca.pem and
// ca.key. It never overwrites a file.
func InitMesh(dir, name string, now time.Time) (PairFiles, error) {
	ca, err := mesh.NewAuthority(name, now)
	if err != nil {
		return PairFiles{}, err
	}
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return PairFiles{}, fault.Wrap(fault.StorageFailed, err, "make the folder %s", dir)
	}
	return writePair(dir, authorityName, ca)
}

// IssueMesh creates a certificate for the named process with the authority in
// dir, and writes it beside the authority. It never overwrites a file.
func IssueMesh(dir, name string, role mesh.Role, ips []net.IP, now time.Time) (PairFiles, error) {
	if !namePattern.MatchString(name) || name == authorityName {
		return PairFiles{}, fault.New(fault.BadRequest, "the name %q must be lower-case letters, digits and hyphens, and not %q", name, authorityName)
	}
	ca, err := readPair(dir, authorityName)
	if err != nil {
		return PairFiles{}, err
	}
	pair, err := ca.Issue(name, role, ips, now)
	if err != nil {
		return PairFiles{}, err
	}
	return writePair(dir, name, pair)
}

func pairFiles(dir, name string) PairFiles {
	base := filepath.Join(dir, name)
	return PairFiles{Certificate: base + certificateKind, Key: base + keyKind}
}

func readPair(dir, name string) (mesh.Pair, error) {
	files := pairFiles(dir, name)
	certificate, err := os.ReadFile(files.Certificate)
	if err != nil {
		return mesh.Pair{}, fault.Wrap(fault.SettingsInvalid, err, "read the mesh authority: %s", err)
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return mesh.Pair{}, fault.Wrap(fault.SettingsInvalid, err, "read the mesh authority's key: %s", err)
	}
	return mesh.Pair{Certificate: certificate, Key: key}, nil
}

// writePair writes both files or none.
func writePair(dir, name string, pair mesh.Pair) (PairFiles, error) {
	files := pairFiles(dir, name)
	if err := writeNew(files.Key, pair.Key); err != nil {
		return PairFiles{}, err
	}
	if err := writeNew(files.Certificate, pair.Certificate); err != nil {
		_ = os.Remove(files.Key)
		return PairFiles{}, err
	}
	return files, nil
}

// writeNew writes a file that must not exist yet.
func writeNew(name string, content []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, secretMode)
	if errors.Is(err, fs.ErrExist) {
		return fault.New(fault.BadRequest, "%s exists already and is not overwritten", name)
	}
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "create %s: %s", name, err)
	}
	_, err = f.Write(content)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		_ = os.Remove(name)
		return fault.Wrap(fault.StorageFailed, err, "write %s: %s", name, err)
	}
	return nil
}
