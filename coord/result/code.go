// Package result defines the numbered result codes of requests, offers and operator calls, and
// whether a request was executed.
package result

import (
	"fmt"
	"time"
)

// Code is the number of a result. docs/CODES.md lists every code.
type Code uint16

// The codes. Their first two digits are the group: 10 success, 11 invalid input of the caller,
// 12 capacity, 13 endpoints, 14 agents, 15 the platform, 16 the settings tree, 17 the settings
// file of a process.
const (
	OK Code = 1000

	BadRequest      Code = 1101
	BodyTooLarge    Code = 1102
	UnknownModel    Code = 1103
	UnknownClass    Code = 1104
	UnknownTeam     Code = 1105
	UnknownService  Code = 1106
	DuplicateKey    Code = 1107
	HeadersTooLarge Code = 1108
	NotFound        Code = 1109
	BadKey          Code = 1110
	BodyLate        Code = 1111

	QueueFull   Code = 1201
	GaveUp      Code = 1202
	TeamLimit   Code = 1203
	NoEndpoint  Code = 1204
	Draining    Code = 1205
	NotReady    Code = 1206
	EntryFull   Code = 1207
	RetriesUsed Code = 1208
	NoRegion    Code = 1209
	Evacuated   Code = 1210
	WarmingUp   Code = 1211
	Limited     Code = 1212
	Overloaded  Code = 1213

	EndpointFailed  Code = 1301
	EndpointLost    Code = 1302
	Stalled         Code = 1303
	Cancelled       Code = 1304
	Preempted       Code = 1305
	Unresumable     Code = 1306
	Quarantined     Code = 1307
	Unread          Code = 1308
	StreamUnknown   Code = 1309
	VersionGone     Code = 1310
	StreamElsewhere Code = 1311

	AgentLeaving  Code = 1401
	AgentFull     Code = 1402
	Evicted       Code = 1403
	SlotGone      Code = 1404
	AgentNoTarget Code = 1405
	Withdrawn     Code = 1406

	ClaimUnavailable Code = 1501
	StoreUnavailable Code = 1502

	SettingsInvalid  Code = 1601
	SettingsConflict Code = 1602
	SettingsUnknown  Code = 1603
	SettingsVersion  Code = 1604

	FileUnreadable Code = 1701
	FileSyntax     Code = 1702
	FileField      Code = 1703
)

// Execution states whether a request was executed at an endpoint.
type Execution uint8

// The values. The zero value makes no assumption.
const (
	Unknown Execution = iota
	NotRun
	Ran
)

// String returns the text for callers.
func (r Execution) String() string {
	switch r {
	case NotRun:
		return "not run"
	case Ran:
		return "run"
	default:
		return "unknown"
	}
}

// Entry is one row of the table of codes.
type Entry struct {
	Code   Code
	Name   string
	Status int // HTTP status for callers and operators
	Text   string
}

// String returns the number and the name of the code.
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), c.Entry().Name)
}

// Entry returns the row of the code. An unlisted code has a row with the name "unlisted".
func (c Code) Entry() Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return Entry{Code: c, Name: "unlisted", Status: 500, Text: "this code is not in the table"}
}

// Error is an error with a code and whether the request was executed.
type Error struct {
	Code       Code
	Run        Execution
	Reason     string
	RetryAfter time.Duration // time after which to retry, 0 if unknown
}

// Error returns the code, its name, the reason and whether the request was executed.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Reason, e.Run)
}

// Errorf returns an error with the given code for a request that was not run.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Run: NotRun, Reason: fmt.Sprintf(format, args...)}
}
