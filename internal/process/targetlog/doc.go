// Package targetlog is the replicated state about targets: what a daemon has
// acknowledged to its target, and must still know after all processes have restarted.
// Daemons have no disk.
package targetlog
