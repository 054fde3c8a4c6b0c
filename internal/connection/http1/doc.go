// Package http1 is an HTTP/1.1 client whose connections carry one request at a
// time.
//
// Invariant: a request is written to at most one connection, and only once.
// Nothing in this package sends a request again. An error says whether any byte
// of the request may have left the process.
//
// It differs from package target in that it forwards the request target
// unchanged, discards responses to earlier requests of the same connection, and
// accepts responses that are delimited by the close of the connection.
package http1
