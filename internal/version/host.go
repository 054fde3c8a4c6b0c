package version

import (
	"net"
	"strings"
)

// routesOfHost returns the routes for the value of a Host header, longest path first. Letter
// case means nothing in it, and it may name a port (RFC 9110, section 4.2.3). Routes that
// name it as it is go before those that differ in case, and these before those without a port.
func (s *State) routesOfHost(host string) []Route {
	if routes, ok := s.routesByHost[host]; ok {
		return routes
	}
	if routes, ok := s.routesByLowerHost[strings.ToLower(host)]; ok {
		return routes
	}
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return nil // it names no port
	}
	return s.routesByLowerHost[strings.ToLower(name)]
}
