// Package link holds HTTP/1.1 client connections that carry one request at a
// time.
//
// Invariant: a request is written to at most one connection, and to it once.
// Nothing in this package sends a request again. An error says whether any byte
// of the request may have left the process.
//
// It differs from package target in that it hands the request line on as it
// came, skips answers that belong to an earlier request of the same connection,
// and takes answers that end with their connection.
package link
