// Package relay forwards requests that name no handle and no idempotency key. A
// caller or a target sends such a request to the daemon of its own instance, the
// entry. The entry chooses a target and forwards the request to the daemon of that
// target, which admits the request and sends it to the target.
//
// Invariants:
//   - A request that is not repeatable is sent to a target at most once.
//   - A response that says "not run" is given only if each daemon that received
//     the request reported that it did not send the request to its target.
//   - A target's response reaches the caller complete, or the connection to the
//     caller is broken.
//   - A request runs on behalf of the team whose API key it carried. Targets never
//     see the key.
package relay
