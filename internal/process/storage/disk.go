package storage

// Disk is the folder of one replica. File names have no folder part. Methods
// that return nil have made their effect durable, except Write of a File.
type Disk interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the whole content of a file; fs.ErrNotExist where it is
	// missing.
	Read(name string) ([]byte, error)
	// Append opens a file for writes at its end, and creates it where it is
	// missing.
	Append(name string) (File, error)
	// Truncate cuts a file to size bytes.
	Truncate(name string, size int64) error
	// Replace writes a whole file so that after a crash it holds either the
	// content before or data.
	Replace(name string, data []byte) error
	// Rename gives a file another name and replaces the file that had it.
	Rename(from, to string) error
	// Remove deletes a file; a missing one is no error.
	Remove(name string) error
	// Close gives the folder up.
	Close() error
}

// File is a file open for appends.
type File interface {
	// Write appends b. It is durable only after Sync.
	Write(b []byte) (int, error)
	// Sync makes all writes durable.
	Sync() error
	Close() error
}
