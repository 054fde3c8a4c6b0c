package operate

import "github.com/teaselrack/teaselrack/internal/fault"

// advice holds what an operator can do after an error, by the kind of the error.
var advice = map[fault.Kind]string{
	fault.BadRequest:      "correct the command; see teaselrack --help",
	fault.Forbidden:       "use a certificate issued with --role operator",
	fault.ConnectFailed:   "check --replicas, that the replicas run, and that --ca, --cert and --key belong to their mesh",
	fault.ConnectionLost:  "send the command again: a repeated command does no harm",
	fault.NoteInvalid:     "correct the note; teaselrack check NOTE finds most faults without a replica",
	fault.NoteGap:         "look up the number in force with teaselrack status, and use the next one",
	fault.NoteConflict:    "another note was accepted with this number; get it from version control or teaselrack export, and use the next number",
	fault.NoLeader:        "the outcome is unknown: send the same command again; if this persists, look at teaselrack status",
	fault.NotLeader:       "send the command again; name all replicas in --replicas",
	fault.NotFounded:      "create the group with teaselrack control init, or admit the replica with teaselrack control admit",
	fault.AlreadyFounded:  "the group exists; admit further replicas with teaselrack control admit",
	fault.MembershipBusy:  "wait until the previous change is finished, then send the command again",
	fault.SettingsInvalid: "correct the named fields or files",
	fault.StorageFailed:   "check the disk, the directory and its permissions",
	fault.AnswerBroken:    "send the command again",
}

// Advice returns what to do next after err.
func Advice(err error) string {
	text, ok := advice[fault.KindOf(err)]
	if !ok {
		return "look at the log of the process and at teaselrack timeline"
	}
	return text
}
