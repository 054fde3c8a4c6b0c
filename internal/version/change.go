package version

// Action is what a note does to one entry.
type Action string

// Actions of a change.
const (
	Added     Action = "added"
	Changed   Action = "changed"
	Withdrawn Action = "withdrawn"
)

// Change is the difference that a note makes to one entry.
type Change struct {
	Action Action `json:"action"`
	// Kind is team, key, route, failure domain, target, service or limits.
	Kind string `json:"sort"`
	Name string `json:"name"`
	// Before and After are the entry as YAML, empty where it does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}
