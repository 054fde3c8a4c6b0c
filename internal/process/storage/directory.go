package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/google/renameio/v2"

	"github.com/teaselrack/teaselrack/internal/fault"
)

const (
	dirMode  = 0o700
	fileMode = 0o600
	lockName = "lock"
	// temporaryPrefix is the name prefix of the temporary files that an interrupted
	// Replace leaves behind.
	temporaryPrefix = "."
)

// Directory implements Disk with a directory of the file system. It holds a lock, so
// that two processes never use the same directory.
type Directory struct {
	path string
	lock *os.File
}

// OpenDirectory locks the directory at path and creates it if it does not exist.
func OpenDirectory(path string) (*Directory, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "create data directory %s", path)
	}
	if err := syncDir(filepath.Dir(path)); err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "sync parent directory of %s", path)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fault.Wrap(fault.StorageFailed, err, "open lock file of data directory %s", path)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fault.Wrap(fault.StorageFailed, err, "data directory %s is already in use", path)
	}
	d := &Directory{path: path, lock: lock}
	return d, d.removeTemporary()
}

// List implements Disk.
func (d *Directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Read implements Disk.
func (d *Directory) Read(name string) ([]byte, error) {
	return os.ReadFile(d.join(name))
}

// Append implements Disk.
func (d *Directory) Append(name string) (File, error) {
	f, err := os.OpenFile(d.join(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syncDir(d.path); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// Truncate implements Disk.
func (d *Directory) Truncate(name string, size int64) error {
	f, err := os.OpenFile(d.join(name), os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// Replace implements Disk.
func (d *Directory) Replace(name string, data []byte) error {
	err := renameio.WriteFile(d.join(name), data, fileMode, renameio.WithTempDir(d.path))
	if err != nil {
		return err
	}
	return syncDir(d.path)
}

// Rename implements Disk.
func (d *Directory) Rename(from, to string) error {
	if err := os.Rename(d.join(from), d.join(to)); err != nil {
		return err
	}
	return syncDir(d.path)
}

// Remove implements Disk.
func (d *Directory) Remove(name string) error {
	err := os.Remove(d.join(name))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return syncDir(d.path)
}

// Close implements Disk.
func (d *Directory) Close() error {
	return d.lock.Close()
}

func (d *Directory) join(name string) string {
	return filepath.Join(d.path, name)
}

func (d *Directory) removeTemporary() error {
	names, err := d.List()
	if err != nil {
		return fault.Wrap(fault.StorageFailed, err, "list data directory %s", d.path)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, temporaryPrefix) {
			continue
		}
		if err := d.Remove(name); err != nil {
			return fault.Wrap(fault.StorageFailed, err, "remove temporary file %s", name)
		}
	}
	return nil
}

func syncDir(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
