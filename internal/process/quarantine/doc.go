// Package quarantine keeps requests that crash the targets that run them from reaching
// further targets.
package quarantine
