// Package storagetest has a Disk in memory that loses what was not synced,
// tears writes and fails on demand.
package storagetest

import (
	"errors"
	"io/fs"
	"math/rand/v2"
	"slices"

	"github.com/teaselrack/teaselrack/internal/process/storage"
)

// ErrFailed is the error of every operation of a failed disk.
var ErrFailed = errors.New("the disk has failed")

const sectorSize = 512

// Disk is a storage.Disk for tests, used from one goroutine at a time.
type Disk struct {
	files map[string]*content
	rng   *rand.Rand
	// generation changes with each crash: files opened before are dead.
	generation int
	failed     bool
	// budget is the number of operations before the disk fails; below zero it
	// never does.
	budget int
	// Syncs counts the syncs of files.
	Syncs int
	// Written counts the bytes written to files.
	Written int
}

type content struct {
	data   []byte
	synced int
}

// New returns an empty disk whose losses are drawn from rng.
func New(rng *rand.Rand) *Disk {
	return &Disk{files: make(map[string]*content), rng: rng, budget: -1}
}

// FailAfter lets the disk fail after n more operations. The operation that
// fails may or may not have had its effect.
func (d *Disk) FailAfter(n int) { d.budget = n }

// Crash ends all open files and drops what was not synced: a prefix of it may
// stay, with some sectors of it unwritten.
func (d *Disk) Crash() {
	d.generation++
	d.failed = false
	d.budget = -1
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
		c.clearSector(rng)
	}
	c.synced = len(c.data)
}

func (c *content) clearSector(rng *rand.Rand) {
	if len(c.data) == c.synced {
		return
	}
	at := c.synced + rng.IntN(len(c.data)-c.synced)
	start := max(c.synced, at/sectorSize*sectorSize)
	clear(c.data[start:min(len(c.data), (at/sectorSize+1)*sectorSize)])
}

// Wipe removes every file.
func (d *Disk) Wipe() {
	d.Crash()
	clear(d.files)
}

// Corrupt changes one byte of a file.
func (d *Disk) Corrupt(name string, offset int) {
	d.files[name].data[offset] ^= 0x55
}

// Size returns the size of a file, 0 where it is missing.
func (d *Disk) Size(name string) int {
	if c, ok := d.files[name]; ok {
		return len(c.data)
	}
	return 0
}

// operate counts one operation. done is called where it has its effect.
func (d *Disk) operate(done func()) error {
	if d.failed {
		return ErrFailed
	}
	if d.budget == 0 {
		d.failed = true
		if d.rng.IntN(2) == 0 {
			done()
		}
		return ErrFailed
	}
	if d.budget > 0 {
		d.budget--
	}
	done()
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
	err := d.operate(func() {
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
	return d.operate(func() {
		c := d.files[name]
		c.data = c.data[:size]
		c.synced = len(c.data)
	})
}

// Replace implements storage.Disk.
func (d *Disk) Replace(name string, data []byte) error {
	return d.operate(func() {
		d.files[name] = &content{data: slices.Clone(data), synced: len(data)}
	})
}

// Rename implements storage.Disk.
func (d *Disk) Rename(from, to string) error {
	return d.operate(func() {
		d.files[to] = d.files[from]
		delete(d.files, from)
	})
}

// Remove implements storage.Disk.
func (d *Disk) Remove(name string) error {
	return d.operate(func() { delete(d.files, name) })
}

// Close implements storage.Disk.
func (d *Disk) Close() error { return nil }

// file is an open file of a Disk.
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
	err := f.disk.operate(func() { f.content.data = append(f.content.data, b...) })
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
	return f.disk.operate(func() { f.content.synced = len(f.content.data) })
}

// Close implements storage.File.
func (f *file) Close() error { return nil }
