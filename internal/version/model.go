// Package version holds the configuration that takes effect with each accepted
// release note: teams, keys, routes, failure domains, targets, services and
// limits. A State is immutable; applying a note yields a new State.
package version

import "time"

// Importance is the priority of a request under overload: the lowest value is
// shed last. The zero value is not valid.
type Importance uint8

// Importances, from shed last to shed first.
const (
	Critical Importance = iota + 1
	High
	Normal
	Low
)

// ImportanceCount is the number of importances.
const ImportanceCount = 4

// Mode says whether a request may run more than once.
type Mode string

// Modes of a route.
const (
	// Idempotent requests may be retried and sent again.
	Idempotent Mode = "idempotent"
	// Once requests run at most once and carry an Idempotency-Key.
	Once Mode = "once"
)

// Access says who may call a route.
type Access string

// Access values of a route.
const (
	// Keyed routes require the key of a team.
	Keyed Access = "keyed"
	// Open routes require no key.
	Open Access = "open"
	// Internal routes may be called by targets only.
	Internal Access = "internal"
)

// OpenTeam is the team of the requests on open routes.
const OpenTeam = "open"

// Defaults and upper bounds of a route.
const (
	DefaultTimeout = 2 * time.Second
	DefaultRetries = 2
	MaxRetries     = 10
	MaxTimeout     = 60 * time.Second
)

// Team is a tenant. Its rate and burst apply to all instances together.
type Team struct {
	Name string `yaml:"name" cbor:"1,keyasint" validate:"required,name"`
	// Rate is the sustained limit in requests per second; fractions below a
	// thousandth have no effect.
	Rate float64 `yaml:"rate" cbor:"2,keyasint" validate:"gte=0.001,lte=1000000"`
	// Burst is the capacity of the team's token bucket, in whole requests.
	Burst float64 `yaml:"burst" cbor:"3,keyasint" validate:"gte=1,lte=1000000"`
	// Weight is the relative share of the team within one importance. Default 1.
	Weight uint32 `yaml:"weight,omitempty" cbor:"4,keyasint,omitempty" validate:"lte=1000"`
	// Rank, where set, takes precedence over the rank of the route for the team's
	// requests. Between teams of equal rank, the rank of the route decides. 0 is
	// shed last.
	Rank *int `yaml:"rank,omitempty" cbor:"5,keyasint,omitempty" validate:"omitempty,gte=0,lte=1000"`
	// Label is the name of the team that targets see, where it differs from Name. Release
	// notes do not set it.
	Label *string `yaml:"-" cbor:"6,keyasint,omitempty"`
}

// Key is a caller's key, stored only as a hash.
type Key struct {
	// ID is the public name of the key: the first 16 hexadecimal digits of Hash.
	// It is derived from Hash and never written in a note.
	ID   string `yaml:"-" cbor:"1,keyasint"`
	Team string `yaml:"team" cbor:"2,keyasint" validate:"required,name"`
	// Hash is "sha256:" and 64 hexadecimal digits.
	Hash string `yaml:"hash" cbor:"3,keyasint" validate:"required,keyhash"`
}

// Route maps a path prefix to a service.
type Route struct {
	// ID identifies the route among those of one State, which sets it.
	ID   string `yaml:"-" cbor:"-"`
	Name string `yaml:"name" cbor:"1,keyasint" validate:"required,name"`
	// Path is the path prefix, matched at segment boundaries; the longest match
	// wins.
	Path string `yaml:"path" cbor:"2,keyasint" validate:"required,routepath"`
	// Methods are the HTTP methods; empty means all.
	Methods []string `yaml:"methods,omitempty" cbor:"3,keyasint,omitempty" validate:"unique,dive,oneof=GET HEAD POST PUT PATCH DELETE OPTIONS"`
	Service string   `yaml:"service,omitempty" cbor:"4,keyasint" validate:"required_without=Split,omitempty,name"`
	// Importance is critical, high, normal or low. Default normal.
	Importance Importance `yaml:"importance,omitempty" cbor:"5,keyasint" validate:"gte=1,lte=4"`
	// Mode is idempotent or once. Default idempotent.
	Mode Mode `yaml:"mode,omitempty" cbor:"6,keyasint" validate:"oneof=idempotent once"`
	// Access is keyed, open or internal. Default keyed.
	Access Access `yaml:"access,omitempty" cbor:"7,keyasint" validate:"oneof=keyed open internal"`
	// Timeout bounds the whole request at the root of its call chain. Default 2s.
	Timeout time.Duration `yaml:"timeout,omitempty" cbor:"8,keyasint" validate:"gte=1ms,lte=60s"`
	// Retries bounds the extra attempts in the whole call chain. Default 2.
	Retries int `yaml:"retries" cbor:"9,keyasint" validate:"gte=0,lte=10"`
	// Host limits the route to requests for one host; empty means any.
	Host string `yaml:"host,omitempty" cbor:"10,keyasint,omitempty" validate:"lte=253"`
	// Split divides the requests over several services by weight, in place of
	// Service.
	Split []Share `yaml:"split,omitempty" cbor:"11,keyasint,omitempty" validate:"dive"`
	// Objective is the latency within which a response has its full value; 0
	// means that none is set.
	Objective time.Duration `yaml:"objective,omitempty" cbor:"12,keyasint,omitempty" validate:"gte=0,lte=2m"`
	// Rank orders relayed requests under overload; 0 is shed last.
	Rank int `yaml:"rank,omitempty" cbor:"13,keyasint,omitempty" validate:"gte=0,lte=1000"`
}

// Share is the part of a split route's requests that one service receives.
type Share struct {
	Service string `yaml:"service" cbor:"1,keyasint" validate:"required,name"`
	// Weight is relative to the sum of all weights of the split.
	Weight float64 `yaml:"weight" cbor:"2,keyasint" validate:"gte=0,lte=1000000"`
}

// Service holds the operators' settings for the targets of one service.
type Service struct {
	Name string `yaml:"name" cbor:"1,keyasint" validate:"required,name"`
	// HealthPath is the path at which targets respond to health checks.
	HealthPath string `yaml:"health_path,omitempty" cbor:"2,keyasint,omitempty"`
	// Connections is the number of connections that one target accepts; 0
	// means that none is set.
	Connections int `yaml:"connections,omitempty" cbor:"3,keyasint,omitempty" validate:"gte=0"`
	// ColdFor is how long a target stays cold after its start.
	ColdFor time.Duration `yaml:"cold_for,omitempty" cbor:"4,keyasint,omitempty" validate:"gte=0"`
	// ColdRate is the number of requests per second that a cold target can
	// handle; 0 means that none is set.
	ColdRate float64 `yaml:"cold_rate,omitempty" cbor:"5,keyasint,omitempty" validate:"gte=0"`
}

// Limits bounds what one caller may send. A zero field sets no bound.
type Limits struct {
	// HeaderBytes and BodyBytes bound one request.
	HeaderBytes int   `yaml:"header_bytes,omitempty" cbor:"1,keyasint,omitempty" validate:"gte=0"`
	BodyBytes   int64 `yaml:"body_bytes,omitempty" cbor:"2,keyasint,omitempty" validate:"gte=0"`
	// HeaderTimeout bounds the time to receive a header block.
	HeaderTimeout time.Duration `yaml:"header_timeout,omitempty" cbor:"3,keyasint,omitempty" validate:"gte=0"`
	// IdleTimeout is how long a connection without requests is kept open.
	IdleTimeout time.Duration `yaml:"idle_timeout,omitempty" cbor:"4,keyasint,omitempty" validate:"gte=0"`
}

// FailureDomain is a set of instances that fail together.
type FailureDomain struct {
	Name   string `yaml:"name" cbor:"1,keyasint" validate:"required,name"`
	Region string `yaml:"region,omitempty" cbor:"2,keyasint,omitempty" validate:"omitempty,name"`
	// InService is false where the operators took the domain out of service.
	InService bool `yaml:"in_service" cbor:"3,keyasint"`
}

// Target is an override for one announced target. A target without an
// override is in service.
type Target struct {
	// Name is the instance name of the target's daemon.
	Name    string `yaml:"name" cbor:"1,keyasint" validate:"required,name"`
	Service string `yaml:"service" cbor:"2,keyasint" validate:"required,name"`
	// InService is false where the operators took the target out of service.
	InService bool `yaml:"in_service" cbor:"3,keyasint"`
}

// Entries holds entries of every kind: those of one section of a release note, or
// the whole content of a State or a FullConfiguration.
type Entries struct {
	Teams          []Team          `yaml:"teams,omitempty" cbor:"1,keyasint,omitempty" validate:"dive"`
	Keys           []Key           `yaml:"keys,omitempty" cbor:"2,keyasint,omitempty" validate:"dive"`
	Routes         []Route         `yaml:"routes,omitempty" cbor:"3,keyasint,omitempty" validate:"dive"`
	FailureDomains []FailureDomain `yaml:"failure_domains,omitempty" cbor:"4,keyasint,omitempty" validate:"dive"`
	Targets        []Target        `yaml:"targets,omitempty" cbor:"5,keyasint,omitempty" validate:"dive"`
	Services       []Service       `yaml:"services,omitempty" cbor:"6,keyasint,omitempty" validate:"dive"`
	// Limits, where set, replaces the limits in effect.
	Limits *Limits `yaml:"limits,omitempty" cbor:"7,keyasint,omitempty"`
	// KeysRequired tells a full configuration that declares teams, but has none, from one
	// that declares no teams. It is false where there are teams.
	KeysRequired bool `yaml:"-" cbor:"8,keyasint,omitempty"`
}

// WithdrawnNames lists the entries that a release note withdraws.
type WithdrawnNames struct {
	Teams []string `yaml:"teams,omitempty" cbor:"1,keyasint,omitempty" validate:"dive,name"`
	// Keys are key IDs or full hashes.
	Keys           []string `yaml:"keys,omitempty" cbor:"2,keyasint,omitempty" validate:"dive,keyname"`
	Routes         []string `yaml:"routes,omitempty" cbor:"3,keyasint,omitempty" validate:"dive,name"`
	FailureDomains []string `yaml:"failure_domains,omitempty" cbor:"4,keyasint,omitempty" validate:"dive,name"`
	// Targets are service/instance pairs.
	Targets  []string `yaml:"targets,omitempty" cbor:"5,keyasint,omitempty" validate:"dive,target"`
	Services []string `yaml:"services,omitempty" cbor:"6,keyasint,omitempty" validate:"dive,name"`
}

// Note is one release note: the change from the State with the preceding
// number.
type Note struct {
	// Number is the number in effect plus one; the first note has number 1.
	Number uint64 `yaml:"number" cbor:"1,keyasint" validate:"required"`
	// Comment is free text for people.
	Comment   string         `yaml:"comment,omitempty" cbor:"2,keyasint,omitempty"`
	Added     Entries        `yaml:"added,omitempty" cbor:"3,keyasint,omitempty"`
	Changed   Entries        `yaml:"changed,omitempty" cbor:"4,keyasint,omitempty"`
	Withdrawn WithdrawnNames `yaml:"withdrawn,omitempty" cbor:"5,keyasint,omitempty"`
	// Order is set where the note carries an order, to which the control replicas
	// assign the number.
	Order *Order `yaml:"-" cbor:"6,keyasint,omitempty"`
}
