// Command standin is a stand-in target for the end-to-end tests and the demo. It
// announces itself to its local daemon and responds to requests. It makes
// downstream calls through the daemon's egress listener, and records every request
// that it runs.
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

// drainTimeout limits how long the program waits for in-flight requests when it
// shuts down.
const drainTimeout = 5 * time.Second

// options are the flags of the program.
type options struct {
	name       string
	service    string
	listen     string
	admin      string
	announce   string
	egress     string
	slots      int
	coldPeriod time.Duration
	calls      callTable
}

func main() {
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	if err := run(parseFlags()); err != nil {
		log.Fatal(err)
	}
}

func parseFlags() options {
	o := options{calls: make(callTable)}
	flag.StringVar(&o.name, "name", "standin", "name in responses and records")
	flag.StringVar(&o.service, "service", "", "service to announce")
	flag.StringVar(&o.listen, "listen", "", "address for requests, IP:port")
	flag.StringVar(&o.admin, "admin", "", "loopback address of the admin listener, IP:port")
	flag.StringVar(&o.announce, "announce", "", "announce listener of the daemon, IP:port")
	flag.StringVar(&o.egress, "egress", "", "egress listener of the daemon, IP:port")
	flag.IntVar(&o.slots, "slots", 16, "number of slots to announce: requests that run at the same time")
	flag.DurationVar(&o.coldPeriod, "cold", 0, "time after the start during which the target announces the state cold")
	flag.Var(o.calls, "call", "downstream call FROM=TO: a request for path FROM calls path TO; may be repeated")
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
	a.announceLeaving()
	drain, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return errors.Join(server.Shutdown(drain), admin.Shutdown(drain))
}
