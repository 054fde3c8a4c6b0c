package system

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// TestFreeAddresses checks that addresses are distinct and free, and that it is an error, and
// no endless search, if there are too few.
func TestFreeAddresses(t *testing.T) {
	addresses, err := freeAddresses(48)
	must.NoError(t, err)
	seen := make(map[string]bool)
	for _, address := range addresses {
		must.False(t, seen[address])
		seen[address] = true
		host, _, err := net.SplitHostPort(address)
		must.NoError(t, err)
		must.Eq(t, "127.0.0.1", host)
	}
	_, err = freeAddresses(maxPortAttempts + 1)
	must.ErrorContains(t, err, "not enough free loopback ports")
}
