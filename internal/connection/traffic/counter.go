// Package traffic counts the bytes that a process exchanges with other processes of
// the system, by purpose and by whether they leave its failure domain.
package traffic

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Purpose is what bytes are exchanged for.
type Purpose int

// Purposes. Other covers the calls of operators and the checks of links.
const (
	Renewal Purpose = iota
	Registry
	Quota
	Configuration
	Replication
	Ledger
	LoadReport
	Request
	Response
	Other
	purposeCount
)

var purposeNames = [purposeCount]string{
	"renewal", "registry", "quota", "configuration", "replication", "ledger", "load_report", "request", "response", "other",
}

// String returns the name of p, as in the metrics.
func (p Purpose) String() string { return purposeNames[p] }

// scope says where the other end of a connection is.
type scope int

const (
	sameDomain scope = iota
	otherDomain
	unknownDomain
	scopeCount
)

var scopeNames = [scopeCount]string{"same", "other", "unknown"}

// Counter counts bytes. A process counts both directions of the connections that it
// opened, so that the sum over all processes counts each byte once. It is safe for
// concurrent use; a nil Counter counts nothing.
type Counter struct {
	domain string
	// domains holds the failure domains of other processes, by IP address.
	domains sync.Map
	bytes   [purposeCount][scopeCount]atomic.Int64
}

// NewCounter returns a Counter of a process in a failure domain.
func NewCounter(domain string) *Counter { return &Counter{domain: domain} }

// Learn records the failure domain of the process at an address, IP:port. An empty
// domain is ignored.
func (c *Counter) Learn(address, domain string) {
	if c == nil || domain == "" {
		return
	}
	ip := hostOf(address)
	if known, ok := c.domains.Load(ip); !ok || known != domain {
		c.domains.Store(ip, domain)
	}
}

// Add counts n bytes exchanged with the process at an address, IP:port.
func (c *Counter) Add(address string, p Purpose, n int) {
	if c == nil {
		return
	}
	c.bytes[p][c.scopeOf(address)].Add(int64(n))
}

// Move counts n bytes that Add has counted for one purpose for another one instead.
func (c *Counter) Move(address string, from, to Purpose, n int) {
	c.Add(address, from, -n)
	c.Add(address, to, n)
}

func (c *Counter) scopeOf(address string) scope {
	domain, ok := c.domains.Load(hostOf(address))
	switch {
	case !ok:
		return unknownDomain
	case domain == c.domain:
		return sameDomain
	}
	return otherDomain
}

// Total returns the number of all counted bytes.
func (c *Counter) Total() int64 {
	total := int64(0)
	for p := range c.bytes {
		for s := range c.bytes[p] {
			total += c.bytes[p][s].Load()
		}
	}
	return total
}

// Leaving returns the number of bytes exchanged for a purpose with processes of other
// failure domains.
func (c *Counter) Leaving(p Purpose) int64 { return c.bytes[p][otherDomain].Load() }

// Write writes the counters in the Prometheus text format. It leaves out zeros.
func (c *Counter) Write(w io.Writer) {
	for p := range c.bytes {
		for s := range c.bytes[p] {
			if n := c.bytes[p][s].Load(); n != 0 {
				_, _ = fmt.Fprintf(w, "teaselrack_link_bytes_total{purpose=%q,domain=%q} %d\n", Purpose(p), scopeNames[s], n)
			}
		}
	}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
