// Command standin is a small target for the end-to-end tests and the demo. It
// announces itself to the daemon beside it, answers requests, calls the next
// service through the daemon's egress listener, and keeps a record of every
// request that it ran.
package main

import (
	"context"
	"errors"
	"flag"
	"log"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// drainTime bounds how long the program waits for requests that run.
const drainTime = 5 * time.Second

// options are the flags of the program.
type options struct {
	name     string
	service  string
	listen   string
	admin    string
	announce string
	egress   string
	slots    int
	cold     time.Duration
	calls    callTable
}

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(parseFlags()); err != nil {
		log.Fatal(err)
	}
}

func parseFlags() options {
	o := options{calls: make(callTable)}
	flag.StringVar(&o.name, "name", "standin", "name in answers and records")
	flag.StringVar(&o.service, "service", "", "service that is announced")
	flag.StringVar(&o.listen, "listen", "", "address for requests, IP:port")
	flag.StringVar(&o.admin, "admin", "", "loopback address for records and behaviour, IP:port")
	flag.StringVar(&o.announce, "announce", "", "announce listener of the daemon, IP:port")
	flag.StringVar(&o.egress, "egress", "", "egress listener of the daemon, IP:port")
	flag.IntVar(&o.slots, "slots", 16, "requests borne at once")
	flag.DurationVar(&o.cold, "cold", 0, "time in the state cold after the start")
	flag.Var(o.calls, "call", "FROM=TO: a request for path FROM calls path TO; may be repeated")
	flag.Parse()
	return o
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	t := newTarget(o)
	a := newAnnouncer(o)
	admin := &http.Server{Addr: o.admin, Handler: adminHandler(t, a)}
	server := &http.Server{Addr: o.listen, Handler: t}
	errs := make(chan error, 2)
	go func() { errs <- server.ListenAndServe() }()
	go func() { errs <- admin.ListenAndServe() }()
	go a.run(ctx)
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	a.leave()
	drain, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	return errors.Join(server.Shutdown(drain), admin.Shutdown(drain))
}
