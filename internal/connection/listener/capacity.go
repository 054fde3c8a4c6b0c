package listener

const (
	// bytesPerConnection is the memory that one open connection may take: its receive queue,
	// its buffers and its goroutines.
	bytesPerConnection = 48 << 10

	// receiveQueueBytes is the size of the receive buffer that is requested for a connection.
	// The kernel allocates twice as much.
	receiveQueueBytes = 16 << 10
	// bodyQueueBytes replaces receiveQueueBytes once a long body is read.
	bodyQueueBytes = 128 << 10

	// connectionShare, headShare, bodyShare and longBodyShare are the shares of the memory of
	// a process for open connections, for request heads, for request bodies and for the
	// larger receive buffers.
	connectionShare = 0.4
	headShare       = 1.0 / 16
	bodyShare       = 1.0 / 8
	longBodyShare   = 1.0 / 16
	// descriptorShare is the share of the descriptors of a process for the connections that
	// its listeners accept. The others are for files and for the connections that it opens.
	descriptorShare = 0.6

	// TrafficShare is the part of the connections of a process that one listener for requests
	// or links may have open.
	TrafficShare = 0.75
	// CallShare is that part for a listener for other calls. A listener with less open makes
	// room for its connections on the one with the most.
	CallShare = 0.125

	// DefaultMemory is the memory limit, in bytes, of a process whose settings name none.
	DefaultMemory = 256 << 20
)

// Capacity is what the clients of all listeners of a process may hold at the same time.
type Capacity struct {
	// Connections is the number of open connections.
	Connections int
	// HeadBytes bounds the memory for request heads beyond the first freeHeadBytes of each.
	HeadBytes int64
	// BodyBytes bounds the request bodies that are buffered.
	BodyBytes int64
	// LongBodies is the number of connections with the receive buffer for long bodies.
	LongBodies int
}

// CapacityFor returns the capacity of a process that may use so many bytes of memory and
// so many descriptors. memory 0 stands for DefaultMemory, descriptors 0 for no limit.
func CapacityFor(memory int64, descriptors int) Capacity {
	if memory <= 0 {
		memory = DefaultMemory
	}
	c := Capacity{
		Connections: int(connectionShare * float64(memory) / bytesPerConnection),
		HeadBytes:   int64(headShare * float64(memory)),
		BodyBytes:   int64(bodyShare * float64(memory)),
		LongBodies:  int(longBodyShare * float64(memory) / (2 * bodyQueueBytes)),
	}
	if descriptors > 0 {
		c.Connections = min(c.Connections, int(descriptorShare*float64(descriptors)))
	}
	return c
}

// share returns a part of the connections, at least one.
func (c Capacity) share(part float64) int { return max(int(part*float64(c.Connections)), 1) }
