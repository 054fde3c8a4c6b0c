package simulation

import (
	"slices"
	"time"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/admission"
	productHop "github.com/teaselrack/teaselrack/internal/request/hop"
)

// stage is the progress of an attempt at the daemon of the target.
type stage uint8

const (
	inTransit stage = iota
	waiting         // in the admission queue
	executing       // the target works on the request
	calling         // the target makes its own calls
	ended
)

// attempt is one attempt of a hop at one target.
type attempt struct {
	hop    *hop
	choice productHop.Choice
	daemon *daemon
	sentAt time.Duration
	// senderDone is set when the sender has handled the result or canceled the
	// attempt.
	senderDone bool

	stage       stage
	ticket      admission.Ticket
	job         *job
	serviceTime time.Duration
	// child is the latest of the target's own calls.
	child *hop
	// level is the strictest load level collected for the reply.
	level *productHop.Level
}

func (a *attempt) loop() *Loop { return &a.hop.mesh.sim.loop }

// arrive puts the request into the admission queue of the target's daemon.
func (a *attempt) arrive() {
	if a.stage == ended {
		return
	}
	if !a.daemon.alive {
		a.stage = ended
		a.reply(fault.New(fault.ConnectFailed, "connect"))
		return
	}
	a.ticket = admission.Ticket{
		Team:       a.hop.mesh.sim.deployment.Teams[a.hop.request.team].Name,
		Importance: a.hop.request.route.Importance,
		Deadline:   a.loop().Clock().Add(a.hop.remaining()),
		Data:       a,
	}
	a.stage = waiting
	a.daemon.inFlight = append(a.daemon.inFlight, a)
	a.daemon.queue.Offer(a.loop().Clock(), &a.ticket)
	a.handleDecision()
	if a.stage == waiting {
		a.loop().After(a.ticket.WaitDeadline.Sub(a.loop().Clock()), a.expire)
	}
}

// resume continues an attempt after its ticket was admitted or rejected.
func (a *attempt) resume() { a.handleDecision() }

func (a *attempt) expire() {
	if a.stage != waiting {
		return
	}
	a.daemon.queue.Expire(a.loop().Clock(), &a.ticket)
	a.handleDecision()
}

func (a *attempt) handleDecision() {
	if a.stage != waiting {
		return
	}
	switch a.ticket.Phase {
	case admission.Running:
		a.execute()
	case admission.Rejected:
		a.removeFromDaemon()
		a.reply(fault.New(a.ticket.Kind, "refused"))
	}
}

func (a *attempt) execute() {
	a.stage = executing
	a.job = &job{work: a.hop.call.Work, request: a.hop.request, onFinished: a.executed, onConnectionLost: a.connectionLost}
	a.daemon.target.submit(a.job)
}

func (a *attempt) executed(result jobResult, took time.Duration) {
	a.serviceTime = took
	switch result {
	case resultOK:
		a.stage = calling
		a.callNext(0)
	case resultReset:
		a.finish(fault.New(fault.ConnectionLost, "reset"), admission.Result{Took: took, Reset: true, Failed: true})
	case resultRefused:
		a.finish(fault.New(fault.ConnectFailed, "refused"), admission.Result{Reset: true, Failed: true})
	case resultFailed:
		a.finish(fault.New(fault.ConnectionLost, "broken"), admission.Result{Took: took, Failed: true})
	}
}

// connectionLost ends an attempt when the target's connection breaks while the
// target makes its own calls.
func (a *attempt) connectionLost() {
	if a.stage != calling {
		return
	}
	a.child.cancel()
	a.finish(fault.New(fault.ConnectionLost, "reset"), admission.Result{Took: a.serviceTime, Reset: true, Failed: true})
}

// callNext makes the i-th call of the target.
func (a *attempt) callNext(i int) {
	if i == len(a.hop.call.Calls) {
		a.finish(nil, admission.Result{Took: a.serviceTime})
		return
	}
	child := &hop{
		mesh:    a.hop.mesh,
		from:    a.daemon,
		root:    a.hop.root,
		request: a.hop.request,
		call:    &a.hop.call.Calls[i],
		depth:   a.hop.depth + 1,
		cohort:  a.hop.cohort,
	}
	child.done = func(err error) {
		a.daemon.queue.OutgoingCall(a.loop().Clock(), &a.ticket, false)
		a.mergeLevel(child.level)
		if err != nil {
			a.finish(errChildFailed, admission.Result{Took: a.serviceTime})
			return
		}
		a.callNext(i + 1)
	}
	a.child = child
	a.daemon.queue.OutgoingCall(a.loop().Clock(), &a.ticket, true)
	child.sendAttempt()
}

func (a *attempt) mergeLevel(level *productHop.Level) {
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

// finish releases the slot and sends the result to the sender.
func (a *attempt) finish(err error, r admission.Result) {
	if a.stage == ended {
		return
	}
	a.removeFromDaemon()
	a.daemon.target.release(a.job)
	a.daemon.queue.Done(a.loop().Clock(), &a.ticket, r)
	a.reply(err)
}

// reply sends the result to the sender, with the strictest of the load levels
// of this daemon and of the target's own calls. The network delays it.
func (a *attempt) reply(err error) {
	if a.daemon.alive {
		own := a.daemon.queue.Level(a.loop().Clock())
		a.mergeLevel(&own)
	}
	level := a.level
	latency := networkDelay(a.hop.from.target.domain, a.daemon.target.domain)
	a.loop().After(latency, func() { a.hop.handleReply(a, err, level) })
}

func (a *attempt) removeFromDaemon() {
	a.stage = ended
	i := slices.Index(a.daemon.inFlight, a)
	if i < 0 {
		return
	}
	last := len(a.daemon.inFlight) - 1
	a.daemon.inFlight[i] = a.daemon.inFlight[last]
	a.daemon.inFlight = a.daemon.inFlight[:last]
}

// cancel ends the attempt at the daemon when its sender no longer needs the
// result.
func (a *attempt) cancel() {
	before := a.stage
	if before == ended {
		return
	}
	a.removeFromDaemon()
	now := a.loop().Clock()
	switch before {
	case waiting:
		if !a.daemon.queue.Cancel(now, &a.ticket) {
			a.daemon.queue.Done(now, &a.ticket, admission.Result{Unused: true})
		}
	case executing:
		a.daemon.target.cancel(a.job)
		a.daemon.queue.Done(now, &a.ticket, admission.Result{Took: a.loop().Now() - a.job.startedAt, Failed: true})
	case calling:
		a.child.cancel()
		a.daemon.target.release(a.job)
		a.daemon.queue.Done(now, &a.ticket, admission.Result{Took: a.serviceTime, Failed: true})
	}
}

// machineDown ends the attempt when the machine of its daemon goes down.
func (a *attempt) machineDown() {
	if a.stage == ended {
		return
	}
	if a.stage == calling {
		a.child.cancel()
		a.daemon.target.release(a.job)
	}
	if a.stage == executing {
		a.daemon.target.cancel(a.job)
	}
	a.removeFromDaemon()
	latency := networkDelay(a.hop.from.target.domain, a.daemon.target.domain)
	err := fault.New(fault.ConnectionLost, "machine went down")
	a.loop().After(latency, func() { a.hop.handleReply(a, err, nil) })
}
