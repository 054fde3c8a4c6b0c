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
	// secretMode lets only the owner read and write keys and certificates.
	secretMode = 0o600
	dirMode    = 0o700

	authorityName     = "ca"
	certificateSuffix = ".pem"
	keySuffix         = ".key"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// KeyPairFiles holds the file names of one certificate and its key.
type KeyPairFiles struct {
	Certificate string
	Key         string
}

// InitMesh creates a mesh authority and writes it to dir, as ca.pem and
// ca.key. It never overwrites a file. Errors: BadRequest where a file exists,
// StorageFailed, and those of mesh.NewAuthority.
func InitMesh(dir, name string, now time.Time) (KeyPairFiles, error) {
	ca, err := mesh.NewAuthority(name, now)
	if err != nil {
		return KeyPairFiles{}, err
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return KeyPairFiles{}, fault.Wrap(fault.StorageFailed, err, "create the directory %s", dir)
	}
	return writeKeyPair(dir, authorityName, ca)
}

// IssueMesh issues a certificate for the named process with the authority in dir,
// and writes it to dir. It never overwrites a file. Errors: BadRequest where the name
// is not valid or a file exists, SettingsInvalid where the authority cannot be read,
// StorageFailed, and those of mesh.KeyPair.Issue.
func IssueMesh(dir, name string, role mesh.Role, ips []net.IP, now time.Time) (KeyPairFiles, error) {
	if !namePattern.MatchString(name) || name == authorityName {
		return KeyPairFiles{}, fault.New(fault.BadRequest, "the name %q must be lower-case letters, digits and hyphens, and not %q", name, authorityName)
	}
	ca, err := readKeyPair(dir, authorityName)
	if err != nil {
		return KeyPairFiles{}, err
	}
	pair, err := ca.Issue(name, role, ips, now)
	if err != nil {
		return KeyPairFiles{}, err
	}
	return writeKeyPair(dir, name, pair)
}

func keyPairFiles(dir, name string) KeyPairFiles {
	base := filepath.Join(dir, name)
	return KeyPairFiles{Certificate: base + certificateSuffix, Key: base + keySuffix}
}

func readKeyPair(dir, name string) (mesh.KeyPair, error) {
	files := keyPairFiles(dir, name)
	certificate, err := os.ReadFile(files.Certificate)
	if err != nil {
		return mesh.KeyPair{}, fault.Wrap(fault.SettingsInvalid, err, "read the mesh authority's certificate: %s", err)
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return mesh.KeyPair{}, fault.Wrap(fault.SettingsInvalid, err, "read the mesh authority's key: %s", err)
	}
	return mesh.KeyPair{Certificate: certificate, Key: key}, nil
}

// writeKeyPair writes both files or none.
func writeKeyPair(dir, name string, pair mesh.KeyPair) (KeyPairFiles, error) {
	files := keyPairFiles(dir, name)
	if err := writeNew(files.Key, pair.Key); err != nil {
		return KeyPairFiles{}, err
	}
	if err := writeNew(files.Certificate, pair.Certificate); err != nil {
		_ = os.Remove(files.Key)
		return KeyPairFiles{}, err
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
