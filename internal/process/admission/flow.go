package admission

// flow is the FIFO queue of one team within one importance.
type flow struct {
	team   string
	weight float64
	// start is the virtual start time of the next ticket.
	start   float64
	tickets []*Ticket
}

func (f *flow) popHead() *Ticket {
	t := f.tickets[0]
	f.tickets[0] = nil
	f.tickets = f.tickets[1:]
	return t
}

func (f *flow) popTail() *Ticket {
	last := len(f.tickets) - 1
	t := f.tickets[last]
	f.tickets[last] = nil
	f.tickets = f.tickets[:last]
	return t
}

func (f *flow) remove(t *Ticket) bool {
	for i, v := range f.tickets {
		if v == t {
			f.tickets = append(f.tickets[:i], f.tickets[i+1:]...)
			return true
		}
	}
	return false
}

// backlog returns the number of waiting tickets per unit of weight.
func (f *flow) backlog() float64 { return float64(len(f.tickets)) / f.weight }
