package storage

// Disk is the data directory of one replica. File names contain no directory. If a
// method returns nil, its effect is durable; the exception is File.Write.
type Disk interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file, or fs.ErrNotExist if it does not exist.
	Read(name string) ([]byte, error)
	// Append opens a file for appending and creates it if it does not exist.
	Append(name string) (File, error)
	// Truncate shortens a file to size bytes.
	Truncate(name string, size int64) error
	// Replace writes a file atomically: after a crash it holds either its previous
	// content or data.
	Replace(name string, data []byte) error
	// Rename renames a file and replaces any file that already has the new name.
	Rename(from, to string) error
	// Remove deletes a file. It is not an error if the file does not exist.
	Remove(name string) error
	// Close releases the directory, so that another process can open it.
	Close() error
}

// File is a file that is open for appending.
type File interface {
	// Write appends b. The data is durable only after Sync.
	Write(b []byte) (int, error)
	// Sync makes all writes durable.
	Sync() error
	Close() error
}
