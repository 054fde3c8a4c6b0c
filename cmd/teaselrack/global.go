package main

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/teaselrack/teaselrack/internal/connection/mesh"
	"github.com/teaselrack/teaselrack/internal/connection/rpc"
	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/operate"
)

// globalOptions are the options that every command accepts.
type globalOptions struct {
	Replicas    string        `long:"replicas" env:"TEASELRACK_REPLICAS" value-name:"IP:PORT,..." description:"control addresses of the control replicas"`
	Authority   string        `long:"ca" env:"TEASELRACK_CA" value-name:"FILE" description:"certificate of the mesh's authority"`
	Certificate string        `long:"cert" env:"TEASELRACK_CERT" value-name:"FILE" description:"certificate of the operator"`
	Key         string        `long:"key" env:"TEASELRACK_KEY" value-name:"FILE" description:"key of the operator's certificate"`
	Timeout     time.Duration `long:"timeout" default:"15s" description:"time that the whole command may take"`

	out io.Writer
}

// session holds what a command needs to call the control replicas.
type session struct {
	ctx      context.Context
	identity *mesh.Identity
	control  *operate.ControlClient
}

// withSession calls fn with a session whose context ends at the timeout or when the
// process receives an interrupt or SIGTERM.
func (g *globalOptions) withSession(fn func(session) error) error {
	replicas, err := g.addresses()
	if err != nil {
		return err
	}
	id, err := g.identity()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, g.Timeout)
	defer cancel()
	pool := rpc.NewPool(id)
	defer func() { _ = pool.Close() }()
	return fn(session{ctx, id, operate.NewControlClient(replicas, pool)})
}

func (g *globalOptions) addresses() ([]string, error) {
	if g.Replicas == "" {
		return nil, usageError("set the addresses of the control replicas with --replicas or TEASELRACK_REPLICAS")
	}
	replicas := strings.Split(g.Replicas, ",")
	for _, address := range replicas {
		if err := checkAddress(address); err != nil {
			return nil, err
		}
	}
	return replicas, nil
}

func checkAddress(address string) error {
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
		return usageError("the address " + address + " is not IP:port")
	}
	return nil
}

func (g *globalOptions) identity() (*mesh.Identity, error) {
	if g.Authority == "" || g.Certificate == "" || g.Key == "" {
		return nil, usageError("set the operator's certificate files with --ca, --cert and --key, or TEASELRACK_CA, TEASELRACK_CERT and TEASELRACK_KEY")
	}
	return mesh.LoadIdentity(g.Authority, g.Certificate, g.Key)
}

func (g *globalOptions) writeJSON(v any) error {
	encoder := json.NewEncoder(g.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// usageError returns an error that ends the command with exitUsage.
func usageError(message string) error {
	return &flags.Error{Type: flags.ErrRequired, Message: message}
}

// readInput reads a file, or standard input for "-".
func readInput(name string) ([]byte, error) {
	var text []byte
	var err error
	if name == "-" {
		text, err = io.ReadAll(os.Stdin)
	} else {
		text, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "read the note: %s", err)
	}
	return text, nil
}
