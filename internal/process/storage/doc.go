// Package storage keeps what one replica must not lose: its identity, its term
// and vote, its log and its snapshot. Nothing is reported as stored before it
// was synced.
//
// A failed write or sync is final: the store refuses everything after it, and
// the process must end. Data that fails its checksum before the end of the log
// is never served.
package storage
