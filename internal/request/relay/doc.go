// Package relay serves requests that name no handle and no idempotency key: a
// caller or a target sends them to the daemon of its own machine, the entry,
// which hands them to the daemon beside the chosen target.
//
// Invariants:
//   - A request that may not be repeated is given to a target at most once.
//   - An answer that says "not run" is given only where every daemon beside a
//     target that had the request says that its target was not given it.
//   - An answer of a target reaches the caller whole, or its connection breaks.
//   - A request runs in the name of the team whose key came with it, and no
//     target sees the key.
package relay
