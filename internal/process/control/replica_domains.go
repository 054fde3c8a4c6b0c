package control

import "sync"

// replicaDomains holds the failure domains of replicas by control address, as far
// as they are known. It is safe for concurrent use.
type replicaDomains struct {
	mu      sync.Mutex
	domains map[string]string
}

// learn records the failure domain of the replica at an address. An empty domain,
// which an earlier build sends, is ignored.
func (r *replicaDomains) learn(address, domain string) {
	if domain == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.domains == nil {
		r.domains = make(map[string]string)
	}
	r.domains[address] = domain
}

// of returns the failure domain of each address, "" where it is unknown.
func (r *replicaDomains) of(addresses []string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	domains := make([]string, len(addresses))
	for i, address := range addresses {
		domains[i] = r.domains[address]
	}
	return domains
}
