// Package relay forwards requests that name no handle and no idempotency key. A
// caller or a target sends such a request to the daemon of its own instance, the
// entry. The entry chooses a target and forwards the request to the daemon of that
// target, which admits the request and sends it to the target.
//
// Invariants:
//   - A request that is not idempotent runs at most once. After a target has
//     received it, it is sent to another target only if the first one states that
//     it did not run it.
//   - A response says "not run" only if no target can have run the request. Each
//     daemon that received the request reported that it did not send it to its
//     target, or the target stated that it did not run it.
//   - A target's response reaches the caller complete, or the connection to the
//     caller is broken.
//   - A request runs on behalf of the team whose API key it carried. Targets never
//     see the key.
package relay
