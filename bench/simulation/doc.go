// Package simulation runs small stand-ins of a deployment in virtual time: its
// targets, its callers and the network between them. The decisions are those of
// the product itself: its queues, routers and permit books are driven with the
// virtual clock. Beside it stands a naive version without any of them.
//
// A run is one goroutine and depends on its seed alone.
package simulation
