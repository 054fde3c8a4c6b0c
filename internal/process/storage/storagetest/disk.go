// Package storagetest provides an in-memory storage.Disk that simulates crashes: it
// loses unsynced data, tears writes and fails on demand.
package storagetest

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// ErrFailed is returned by every operation of a failed disk.
var ErrFailed = errors.New("simulated disk failure")

// sectorSize is the unit that the disk writes atomically, in bytes.
const sectorSize = 512

// Disk is a storage.Disk for tests. It is not safe for concurrent use.
type Disk struct {
	files map[string]*content
	rng   *rand.Rand
	// generation increases with each crash. Files that were opened in an earlier
	// generation fail.
	generation int
	failed     bool
	// remainingOps is the number of operations before the disk fails. If it is
	// negative, the disk does not fail.
	remainingOps int
	// Syncs is the number of calls of File.Sync.
	Syncs int
	// Written is the number of bytes written to files.
	Written int
}

type content struct {
	data   []byte
	synced int // number of bytes at the start of data that are durable
}

// New returns an empty disk. rng decides what is lost in a crash or a failure.
func New(rng *rand.Rand) *Disk {
	return &Disk{files: make(map[string]*content), rng: rng, remainingOps: -1}
}

// FailAfter makes the disk fail after n more operations. The failing operation may or
// may not take effect.
func (d *Disk) FailAfter(n int) { d.remainingOps = n }

// Crash invalidates all open files, discards unsynced data and ends a failure. A prefix
// of the unsynced data may remain, possibly with one sector of it zeroed.
func (d *Disk) Crash() {
	d.generation++
	d.failed = false
	d.remainingOps = -1
	for _, name := range d.names() {
		d.files[name].tear(d.rng)
	}
}

func (c *content) tear(rng *rand.Rand) {
	lost := len(c.data) - c.synced
	if lost == 0 {
		return
	}
	keep := c.synced + rng.IntN(lost+1)
	c.data = slices.Clone(c.data[:keep])
	if rng.IntN(2) == 0 {
		c.zeroSector(rng)
	}
	c.synced = len(c.data)
}

func (c *content) zeroSector(rng *rand.Rand) {
	if len(c.data) == c.synced {
		return
	}
	at := c.synced + rng.IntN(len(c.data)-c.synced)
	start := max(c.synced, at/sectorSize*sectorSize)
	clear(c.data[start:min(len(c.data), (at/sectorSize+1)*sectorSize)])
}

// Wipe crashes the disk and removes all files.
func (d *Disk) Wipe() {
	d.Crash()
	clear(d.files)
}

// Corrupt changes the byte of a file at offset.
func (d *Disk) Corrupt(name string, offset int) {
	d.files[name].data[offset] ^= 0x55
}

// Size returns the size of a file, or 0 if it does not exist.
func (d *Disk) Size(name string) int {
	if c, ok := d.files[name]; ok {
		return len(c.data)
	}
	return 0
}

// apply counts one operation and calls effect if the operation takes effect.
func (d *Disk) apply(effect func()) error {
	if d.failed {
		return ErrFailed
	}
	if d.remainingOps == 0 {
		d.failed = true
		if d.rng.IntN(2) == 0 {
			effect()
		}
		return ErrFailed
	}
	if d.remainingOps > 0 {
		d.remainingOps--
	}
	effect()
	return nil
}

func (d *Disk) names() []string {
	names := make([]string, 0, len(d.files))
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// List implements storage.Disk.
func (d *Disk) List() ([]string, error) {
	if d.failed {
		return nil, ErrFailed
	}
	return d.names(), nil
}

// Read implements storage.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	if d.failed {
		return nil, ErrFailed
	}
	c, ok := d.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(c.data), nil
}

// Append implements storage.Disk.
func (d *Disk) Append(name string) (storage.File, error) {
	err := d.apply(func() {
		if d.files[name] == nil {
			d.files[name] = new(content)
		}
	})
	if err != nil {
		return nil, err
	}
	return &file{disk: d, content: d.files[name], generation: d.generation}, nil
}

// Truncate implements storage.Disk.
func (d *Disk) Truncate(name string, size int64) error {
	return d.apply(func() {
		c := d.files[name]
		c.data = c.data[:size]
		c.synced = len(c.data)
	})
}

// Replace implements storage.Disk.
func (d *Disk) Replace(name string, data []byte) error {
	return d.apply(func() {
		d.files[name] = &content{data: slices.Clone(data), synced: len(data)}
	})
}

// Rename implements storage.Disk.
func (d *Disk) Rename(from, to string) error {
	return d.apply(func() {
		d.files[to] = d.files[from]
		delete(d.files, from)
	})
}

// Remove implements storage.Disk.
func (d *Disk) Remove(name string) error {
	return d.apply(func() { delete(d.files, name) })
}

// Close implements storage.Disk.
func (d *Disk) Close() error { return nil }

type file struct {
	disk       *Disk
	content    *content
	generation int
}

// Write implements storage.File.
func (f *file) Write(b []byte) (int, error) {
	if f.generation != f.disk.generation {
		return 0, ErrFailed
	}
	err := f.disk.apply(func() { f.content.data = append(f.content.data, b...) })
	if err != nil {
		return 0, err
	}
	f.disk.Written += len(b)
	return len(b), nil
}

// Sync implements storage.File.
func (f *file) Sync() error {
	if f.generation != f.disk.generation {
		return ErrFailed
	}
	f.disk.Syncs++
	return f.disk.apply(func() { f.content.synced = len(f.content.data) })
}

// Close implements storage.File.
func (f *file) Close() error { return nil }
