package admission

// flow is the queue of one team within one importance, first in, first out.
type flow struct {
	team   string
	weight float64
	// start is the virtual time at which the next ticket is due.
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

// load is the number of waiting tickets for each unit of weight.
func (f *flow) load() float64 { return float64(len(f.tickets)) / f.weight }
