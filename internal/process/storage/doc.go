// Package storage persists the state of one replica: its identity, its term and
// vote, its log and its snapshot. Data is reported as stored only after it has been
// synced.
//
// A failed write or sync is permanent: the store returns the error from every later
// operation, and the process must exit. A torn tail of the log is truncated. Data
// that fails its checksum anywhere else is never returned.
package storage
