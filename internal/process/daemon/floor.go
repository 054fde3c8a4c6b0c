package daemon

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
)

const (
	floorFile     = "floor.json"
	directoryMode = 0o700
	fileMode      = 0o600
)

// floorStore stores the lowest configuration number that a daemon may accept
// after a restart. Without a data directory it stores nothing.
type floorStore struct {
	path  string
	floor configuration.Floor
}

// openFloor reads the stored floor. If there is none, the floor is zero.
// Errors: StorageFailed, Damaged.
func openFloor(directory string) (*floorStore, error) {
	if directory == "" {
		return &floorStore{}, nil
	}
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create the data directory %s", directory)
	}
	f := &floorStore{path: filepath.Join(directory, floorFile)}
	b, err := os.ReadFile(f.path)
	if errors.Is(err, fs.ErrNotExist) {
		return f, nil
	}
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "read %s", f.path)
	}
	if err := json.Unmarshal(b, &f.floor); err != nil {
		return nil, fault.Wrap(fault.Damaged, err, "read %s", f.path)
	}
	return f, nil
}

// saveFunc returns the function that stores a floor durably, or nil without a
// data directory.
func (f *floorStore) saveFunc() func(uint64, string) error {
	if f.path == "" {
		return nil
	}
	return f.save
}

func (f *floorStore) save(number uint64, digest string) error {
	b, err := json.Marshal(configuration.Floor{Number: number, Digest: digest})
	if err != nil {
		return fault.Wrap(fault.Internal, err, "encode the configuration floor")
	}
	if err := renameio.WriteFile(f.path, b, fileMode); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "write %s", f.path)
	}
	return syncDirectory(filepath.Dir(f.path))
}

func syncDirectory(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "open %s", path)
	}
	defer func() { _ = dir.Close() }()
	if err := dir.Sync(); err != nil {
		return fault.Wrap(fault.StorageFailed, err, "sync %s", path)
	}
	return nil
}
