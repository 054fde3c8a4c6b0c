package daemon

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"time"

	"github.com/oklog/run"

	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/process/configuration"
	"github.com/teaselrack/teaselrack/internal/process/control"
	"github.com/teaselrack/teaselrack/internal/process/ledger"
	"github.com/teaselrack/teaselrack/internal/process/quota"
	"github.com/teaselrack/teaselrack/internal/process/registry"
	"github.com/teaselrack/teaselrack/internal/process/replica"
	"github.com/teaselrack/teaselrack/internal/request/envelope"
)

// controlRole is the control part of a daemon; a nil one has nothing to run.
type controlRole struct {
	nodes   map[string]*replica.Node
	service *control.Service
	server  *rpc.Server
}

// buildControl opens the replica groups where the settings give this process
// the control role.
func (d *Daemon) buildControl() error {
	if !d.settings.Control.Enabled {
		return nil
	}
	c := &controlRole{nodes: make(map[string]*replica.Node)}
	d.control = c
	transport := control.NewTransport(d.pool)
	d.closers = append(d.closers, transport)

	machine := configuration.NewMachine(configuration.DefaultHistory)
	group, err := d.openGroup(control.ConfigurationGroup, machine, transport)
	if err != nil {
		return err
	}
	shards, err := d.openShards(transport)
	if err != nil {
		return err
	}
	c.service = control.New(control.Options{
		Address:  d.settings.Advertise.Control,
		Replicas: d.settings.Replicas,
		Group:    group,
		Machine:  machine,
		Shards:   shards,
		Registry: registry.New(envelope.NewID()),
		Issuer:   quota.NewIssuer(),
		Caller:   d.pool,
		Receive:  c.receive,
		Clock:    time.Now,
		Recorder: d.ring,
		Log:      d.log,
	})
	c.server = rpc.NewServer(d.id, c.service.Handlers(), d.log)
	return nil
}

func (d *Daemon) openShards(transport replica.Transport) ([]control.Shard, error) {
	shards := make([]control.Shard, d.settings.Control.LedgerShards)
	for i := range shards {
		machine := ledger.NewMachine(ledger.DefaultLimits())
		group, err := d.openGroup(fmt.Sprintf("ledger-%d", i), machine, transport)
		if err != nil {
			return nil, err
		}
		shards[i] = control.Shard{Group: group, Clock: ledger.NewClock(machine, time.Now)}
	}
	return shards, nil
}

func (d *Daemon) openGroup(name string, machine replica.Machine, transport replica.Transport) (*replica.Node, error) {
	node, err := replica.New(replica.Options{
		Group:     name,
		Dir:       filepath.Join(d.settings.Data, name),
		Address:   d.settings.Advertise.Control,
		Machine:   machine,
		Transport: transport,
		Logger:    d.log,
		Heartbeat: d.settings.Control.Heartbeat,
		Election:  d.settings.Control.Election,
	})
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, node)
	d.control.nodes[name] = node
	return node, nil
}

// receive hands a message to the member of its group.
func (c *controlRole) receive(message replica.Message) {
	if node, ok := c.nodes[message.Group]; ok {
		node.Handle(message)
	}
}

// add adds the actors of the control role. A group whose storage fails ends
// the process.
func (c *controlRole) add(g *run.Group, ln net.Listener) {
	if c == nil {
		return
	}
	for _, node := range c.nodes {
		addLoop(g, node.Run)
	}
	addLoop(g, endless(c.service.RunSync))
	addLoop(g, endless(c.service.Watch))
	g.Add(func() error { return c.server.Run(ln) }, func(error) { _ = c.server.Close() })
}

func endless(loop func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		loop(ctx)
		return nil
	}
}
