package simulation

import (
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/admission"
	productHop "github.com/teaselrack/teaselrack/internal/request/hop"
)

// stage is where an attempt stands at the daemon beside the target.
type stage uint8

const (
	travelling stage = iota
	waiting
	working
	calling
	ended
)

// attempt is one try of a hop at one target.
type attempt struct {
	hop    *hop
	choice productHop.Choice
	to     *daemon
	sent   time.Duration
	// over is true once the sender has taken the end.
	over bool

	stage  stage
	ticket admission.Ticket
	job    *job
	took   time.Duration
	child  *hop
	level  *productHop.Level
}

func (a *attempt) loop() *Loop { return &a.hop.mesh.world.loop }

// arrive offers the request to the queue beside the target.
func (a *attempt) arrive() {
	if a.stage == ended {
		return
	}
	if !a.to.alive {
		a.stage = ended
		a.reply(fault.New(fault.ConnectFailed, "connect"))
		return
	}
	a.ticket = admission.Ticket{
		Team:       a.hop.mesh.world.deployment.Teams[a.hop.request.team].Name,
		Importance: a.hop.request.route.Importance,
		Deadline:   a.loop().Clock().Add(a.hop.remaining()),
		Data:       a,
	}
	a.stage = waiting
	a.to.running = append(a.to.running, a)
	a.to.queue.Offer(a.loop().Clock(), &a.ticket)
	a.settle()
	if a.stage == waiting {
		a.loop().After(a.ticket.WaitDeadline.Sub(a.loop().Clock()), a.expire)
	}
}

// resume continues an attempt whose ticket no longer waits.
func (a *attempt) resume() { a.settle() }

func (a *attempt) expire() {
	if a.stage != waiting {
		return
	}
	a.to.queue.Expire(a.loop().Clock(), &a.ticket)
	a.settle()
}

func (a *attempt) settle() {
	if a.stage != waiting {
		return
	}
	switch a.ticket.Phase {
	case admission.Running:
		a.work()
	case admission.Rejected:
		a.leave()
		a.reply(fault.New(a.ticket.Kind, "refused"))
	}
}

func (a *attempt) work() {
	a.stage = working
	a.job = &job{work: a.hop.call.Work, request: a.hop.request, finished: a.worked, lost: a.lost}
	a.to.target.submit(a.job)
}

func (a *attempt) worked(e jobEnd, took time.Duration) {
	a.took = took
	switch e {
	case endOK:
		a.stage = calling
		a.next(0)
	case endReset:
		a.finish(fault.New(fault.ConnectionLost, "reset"), admission.Result{Took: took, Reset: true, Failed: true})
	case endRefused:
		a.finish(fault.New(fault.ConnectFailed, "refused"), admission.Result{Reset: true, Failed: true})
	case endFailed:
		a.finish(fault.New(fault.ConnectionLost, "broken"), admission.Result{Took: took, Failed: true})
	}
}

// lost ends an attempt whose target broke the connection during its own calls.
func (a *attempt) lost() {
	if a.stage != calling {
		return
	}
	a.child.cancel()
	a.finish(fault.New(fault.ConnectionLost, "reset"), admission.Result{Took: a.took, Reset: true, Failed: true})
}

// next makes the i-th call of the target.
func (a *attempt) next(i int) {
	if i == len(a.hop.call.Calls) {
		a.finish(nil, admission.Result{Took: a.took})
		return
	}
	child := &hop{
		mesh:    a.hop.mesh,
		from:    a.to,
		root:    a.hop.root,
		request: a.hop.request,
		call:    &a.hop.call.Calls[i],
		depth:   a.hop.depth + 1,
		cohort:  a.hop.cohort,
	}
	child.done = func(err error) {
		a.to.queue.OutgoingCall(a.loop().Clock(), &a.ticket, false)
		a.fold(child.level)
		if err != nil {
			a.finish(childFailed, admission.Result{Took: a.took})
			return
		}
		a.next(i + 1)
	}
	a.child = child
	a.to.queue.OutgoingCall(a.loop().Clock(), &a.ticket, true)
	child.try()
}

func (a *attempt) fold(level *productHop.Level) {
	if level == nil {
		return
	}
	if a.level == nil {
		a.level = level
		return
	}
	l := a.level.Stricter(*level)
	a.level = &l
}

// finish gives the slot back and answers.
func (a *attempt) finish(err error, r admission.Result) {
	if a.stage == ended {
		return
	}
	a.leave()
	a.to.target.release(a.job)
	a.to.queue.Done(a.loop().Clock(), &a.ticket, r)
	a.reply(err)
}

// reply sends the end back to the sender, with the strictest level.
func (a *attempt) reply(err error) {
	if a.to.alive {
		own := a.to.queue.Level(a.loop().Clock())
		a.fold(&own)
	}
	level := a.level
	trip := delay(a.hop.from.target.domain, a.to.target.domain)
	a.loop().After(trip, func() { a.hop.answered(a, err, level) })
}

func (a *attempt) leave() {
	a.stage = ended
	i := slices.Index(a.to.running, a)
	if i < 0 {
		return
	}
	last := len(a.to.running) - 1
	a.to.running[i] = a.to.running[last]
	a.to.running = a.to.running[:last]
}

// cancel ends the attempt at the daemon because nobody wants it any more.
func (a *attempt) cancel() {
	before := a.stage
	if before == ended {
		return
	}
	a.leave()
	now := a.loop().Clock()
	switch before {
	case waiting:
		if !a.to.queue.Cancel(now, &a.ticket) {
			a.to.queue.Done(now, &a.ticket, admission.Result{Unused: true})
		}
	case working:
		a.to.target.cancel(a.job)
		a.to.queue.Done(now, &a.ticket, admission.Result{Took: a.loop().Now() - a.job.began, Failed: true})
	case calling:
		a.child.cancel()
		a.to.target.release(a.job)
		a.to.queue.Done(now, &a.ticket, admission.Result{Took: a.took, Failed: true})
	}
}

// broken ends the attempt because the machine of its daemon went down.
func (a *attempt) broken() {
	if a.stage == ended {
		return
	}
	if a.stage == calling {
		a.child.cancel()
		a.to.target.release(a.job)
	}
	if a.stage == working {
		a.to.target.cancel(a.job)
	}
	a.leave()
	trip := delay(a.hop.from.target.domain, a.to.target.domain)
	err := fault.New(fault.ConnectionLost, "machine went down")
	a.loop().After(trip, func() { a.hop.answered(a, err, nil) })
}
