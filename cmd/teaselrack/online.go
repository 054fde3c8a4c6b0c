package main

import (
	"fmt"

	"github.com/teaselrack/teaselrack/internal/connection/protocol"
	"github.com/teaselrack/teaselrack/internal/operate"
)

// controlInit founds the replica groups.
type controlInit struct {
	global *globalOptions
	Args   struct {
		Address string `positional-arg-name:"IP:PORT" description:"control address of the founder; default: the only one of --replicas"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *controlInit) Execute([]string) error {
	replicas, err := c.global.addresses()
	if err != nil {
		return err
	}
	address := c.Args.Address
	if address == "" && len(replicas) == 1 {
		address = replicas[0]
	}
	if address == "" {
		return usageError("name the founder: teaselrack control init IP:port")
	}
	if err := checkAddress(address); err != nil {
		return err
	}
	return c.global.withSession(func(s session) error {
		reply, err := s.control.Found(s.ctx, address)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.global.out, "founded by replica %s at %s; admit the others with teaselrack control admit\n", reply.ID, address)
		return err
	})
}

// controlAdmit adds a replica to the groups.
type controlAdmit struct {
	global *globalOptions
	Args   struct {
		Address string `positional-arg-name:"IP:PORT" description:"control address of the new replica"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *controlAdmit) Execute([]string) error {
	if err := checkAddress(c.Args.Address); err != nil {
		return err
	}
	return c.global.withSession(func(s session) error {
		if err := s.control.Admit(s.ctx, c.Args.Address); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.global.out, "admitted %s\n", c.Args.Address)
		return err
	})
}

// controlRemove removes a replica from the groups.
type controlRemove struct {
	global *globalOptions
	Args   struct {
		ID string `positional-arg-name:"ID" description:"id of the replica, as status shows it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *controlRemove) Execute([]string) error {
	return c.global.withSession(func(s session) error {
		if err := s.control.Remove(s.ctx, c.Args.ID); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.global.out, "removed %s\n", c.Args.ID)
		return err
	})
}

// noteFile is the option of the commands that read a release note.
type noteFile struct {
	File string `short:"f" long:"file" required:"yes" value-name:"NOTE" description:"release note, or - for standard input"`
}

// plan prints the changes that a note would make.
type plan struct {
	global *globalOptions
	noteFile
	JSON bool `long:"json" description:"write JSON"`
}

// Execute implements flags.Commander.
func (c *plan) Execute([]string) error {
	note, err := readInput(c.File)
	if err != nil {
		return err
	}
	return c.global.withSession(func(s session) error {
		reply, err := s.control.Plan(s.ctx, note)
		if err != nil {
			return err
		}
		if c.JSON {
			return c.global.writeJSON(reply)
		}
		return operate.WritePlan(c.global.out, reply)
	})
}

// apply submits a note to the control replicas.
type apply struct {
	global *globalOptions
	noteFile
	Wait bool `long:"wait" description:"return when the note is in force everywhere"`
}

// Execute implements flags.Commander.
func (c *apply) Execute([]string) error {
	note, err := readInput(c.File)
	if err != nil {
		return err
	}
	return c.global.withSession(func(s session) error { return c.send(s, note) })
}

func (c *apply) send(s session, note []byte) error {
	reply, err := s.control.Apply(s.ctx, note)
	if err != nil {
		return err
	}
	repeated := ""
	if reply.Repeated {
		repeated = " (accepted before)"
	}
	if _, err := fmt.Fprintf(c.global.out, "note %d accepted%s, digest %s\n", reply.Number, repeated, reply.Digest); err != nil {
		return err
	}
	if !c.Wait {
		return nil
	}
	if err := s.control.WaitInEffect(s.ctx, reply.Number); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.global.out, "note %d is in force everywhere\n", reply.Number)
	return err
}

// export prints the state in effect as a release note.
type export struct {
	global *globalOptions
}

// Execute implements flags.Commander.
func (c *export) Execute([]string) error {
	return c.global.withSession(func(s session) error {
		reply, err := s.control.Export(s.ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(c.global.out, "# the state in force after note %d, digest %s\n%s", reply.Number, reply.Digest, reply.Note)
		return err
	})
}

// status prints the state of the replicas, daemons and targets.
type status struct {
	global *globalOptions
	JSON   bool `long:"json" description:"write JSON"`
}

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	return c.global.withSession(func(s session) error {
		overview, err := s.control.Status(s.ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return c.global.writeJSON(overview)
		}
		return operate.WriteStatus(c.global.out, overview)
	})
}

// timeline prints the merged events of all daemons.
type timeline struct {
	global  *globalOptions
	Request string `long:"request" value-name:"ID" description:"only events of this request"`
	Team    string `long:"team" description:"only events of this team"`
	Target  string `long:"target" value-name:"INSTANCE" description:"only events of this target"`
	JSON    bool   `long:"json" description:"write JSON"`
}

// Execute implements flags.Commander.
func (c *timeline) Execute([]string) error {
	return c.global.withSession(func(s session) error {
		overview, err := s.control.Status(s.ctx)
		if err != nil {
			return err
		}
		source := operate.NewPeerEvents(s.identity)
		defer source.Close()
		request := protocol.EventsRequest{Request: c.Request, Team: c.Team, Target: c.Target}
		merged := operate.ReadTimeline(s.ctx, source, overview.Daemons, request)
		if c.JSON {
			return c.global.writeJSON(merged)
		}
		return operate.WriteTimeline(c.global.out, merged)
	})
}
