package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/operate"
	"github.com/teaselrack/teaselrack/internal/version"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	mesh := filepath.Join(dir, "mesh")
	note := filepath.Join(dir, "note.yaml")
	must.NoError(t, os.WriteFile(note, []byte("number: 1\nadded:\n  teams: [{name: obala, rate: 1, burst: 1}]\n"), 0o600))
	bad := filepath.Join(dir, "bad.yaml")
	must.NoError(t, os.WriteFile(bad, []byte("number: 1\nremoved: {}\n"), 0o600))
	files := []string{"--ca", mesh + "/ca.pem", "--cert", mesh + "/ops.pem", "--key", mesh + "/ops.key"}
	unreachable := append([]string{"--replicas", "127.0.0.1:1", "--timeout", "1ms"}, files...)
	cases := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, exitUsage, "specify one command"},
		{"unknown command", []string{"aply"}, exitUsage, "usage: "},
		{"unknown flag", []string{"status", "--jsn"}, exitUsage, "next: see teaselrack --help"},
		{"help", []string{"--help"}, exitOK, "Available commands"},
		{"version", []string{"version"}, exitOK, "teaselrack "},
		{"init", []string{"mesh", "init", "--dir", mesh}, exitOK, "ca.key"},
		{"init again", []string{"mesh", "init", "--dir", mesh}, exitFailed, "not overwritten"},
		{"no address", []string{"mesh", "issue", "tides-1", "--dir", mesh, "--role", "daemon"}, exitUsage, "--ip"},
		{"unknown role", []string{"mesh", "issue", "tides-1", "--dir", mesh, "--role", "king"}, exitUsage, "king"},
		{"issue", []string{"mesh", "issue", "ops", "--dir", mesh, "--role", "operator"}, exitOK, "ops.pem"},
		{"issue again", []string{"mesh", "issue", "ops", "--dir", mesh, "--role", "operator"}, exitFailed, "not overwritten"},
		{"bad name", []string{"mesh", "issue", "../ops", "--dir", mesh, "--role", "operator"}, exitFailed, "bad_request"},
		{"authority's name", []string{"mesh", "issue", "ca", "--dir", mesh, "--role", "operator"}, exitFailed, "bad_request"},
		{"check", []string{"check", note}, exitOK, "note 1"},
		{"check bad", []string{"check", bad}, exitFailed, "note_invalid"},
		{"check missing", []string{"check", bad + "x"}, exitFailed, "no such file"},
		{"check nothing", []string{"check"}, exitUsage, "name one release note"},
		{"check settings", []string{"check", "--settings", bad}, exitFailed, "bad.yaml:2: removed: unknown field"},
		{"no replicas", []string{"status"}, exitUsage, "--replicas"},
		{"host name", []string{"status", "--replicas", "localhost:1"}, exitUsage, "not IP:port"},
		{"no identity", []string{"status", "--replicas", "127.0.0.1:1"}, exitUsage, "--ca"},
		{"no replica answers", append([]string{"status"}, unreachable...), exitFailed, "connect_failed"},
		{"no founder named", append([]string{"control", "init", "--replicas", "127.0.0.1:1,127.0.0.1:2"}, files...), exitUsage, "name the founder"},
		{"apply needs a note", append([]string{"apply"}, unreachable...), exitUsage, "file"},
	}
	for _, name := range []string{"REPLICAS", "CA", "CERT", "KEY"} {
		t.Setenv("TEASELRACK_"+name, "")
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			must.Eq(t, tc.code, run(tc.args, &stdout, &stderr))
			must.StrContains(t, stdout.String()+stderr.String(), tc.want)
			must.Eq(t, tc.code == exitOK, stderr.Len() == 0)
		})
	}
	entries, err := os.ReadDir(mesh)
	must.NoError(t, err)
	must.Len(t, 4, entries)
	for _, entry := range entries {
		info, err := entry.Info()
		must.NoError(t, err)
		must.Eq(t, 0o600, info.Mode().Perm())
	}
}

func TestNewKeyFitsItsLine(t *testing.T) {
	var stdout, stderr bytes.Buffer
	must.Eq(t, exitOK, run([]string{"key", "new", "--team", "obala"}, &stdout, &stderr))
	_, rest, _ := strings.Cut(stdout.String(), "secret (shown once): ")
	secret, _, _ := strings.Cut(rest, "\n")
	must.StrContains(t, stdout.String(), version.HashKey(secret))
	must.Eq(t, 1, strings.Count(stdout.String(), secret))
}

func TestEveryOperatorKindHasAdvice(t *testing.T) {
	defaultAdvice := operate.Advice(fault.New(fault.Internal, "x"))
	for _, kind := range []fault.Kind{fault.NoteInvalid, fault.NoteGap, fault.NoteConflict, fault.NoLeader, fault.NotFounded, fault.AlreadyFounded, fault.MembershipBusy} {
		must.NotEq(t, defaultAdvice, operate.Advice(fault.New(kind, "x")))
	}
}
