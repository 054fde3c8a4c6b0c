// Package targetlog is the replicated state about targets: what a daemon has
// acknowledged to its target, what targets were running when they crashed, and which
// requests no target may get. All processes may restart, and daemons have no disk; this must
// still be known then.
package targetlog
