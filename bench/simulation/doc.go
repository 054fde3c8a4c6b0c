// Package simulation runs small models of a deployment in virtual time: its
// targets, its clients and the network between them. The decision logic is that
// of the product itself: its admission queues, routers and permit allocators run
// with the virtual clock. A naive version without any of them serves as the
// baseline.
//
// A run is single-threaded and deterministic for its seed.
package simulation
