// Package simulation runs small models of a deployment in virtual time: its
// targets, its clients and the network between them. The decisions are those of
// the product itself: its admission queues, routers and permit allocators are
// driven with the virtual clock. A naive version without any of them serves as
// the baseline.
//
// A run is single-threaded and deterministic for its seed.
package simulation
