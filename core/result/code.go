// Package result holds the numbered result codes that every program of the
// system prints, and the error type that carries one. The table in
// docs/RESULT-CODES.md lists the same numbers; a test compares the two.
package result

// Code is a numbered result. The first of its three digits is its class.
type Code int

// Classes of codes: the first digit.
const (
	// ClassSuccess holds the codes of requests and changes that succeeded.
	ClassSuccess = 1
	// ClassNotRun holds refusals: no target has run any part of the request.
	ClassNotRun = 2
	// ClassUncertain holds outcomes of requests that may have run.
	ClassUncertain = 3
	// ClassDocument holds faults in a configuration or settings document.
	ClassDocument = 4
	// ClassStart holds faults that keep a process from starting.
	ClassStart = 5
	// ClassChange holds refusals of a configuration change.
	ClassChange = 6
	// ClassConnection holds faults between the system's own processes.
	ClassConnection = 7
	// ClassStorage holds faults of the data folder.
	ClassStorage = 8
	// ClassInternal holds faults of the program itself.
	ClassInternal = 9
)

// The result codes.
const (
	Complete        Code = 100
	Partial         Code = 101
	NothingAnswered Code = 102
	ChangeAccepted  Code = 103
	ChangeRepeated  Code = 104
	DocumentValid   Code = 105

	Overloaded       Code = 200
	UnknownQuery     Code = 201
	BadRequest       Code = 202
	Stopping         Code = 203
	NoConfiguration  Code = 204
	NoTarget         Code = 205
	NoClaim          Code = 206
	DeadlineTooShort Code = 207
	TargetRefused    Code = 208
	NotAllowed       Code = 209
	Unconfirmed      Code = 210

	OutcomeUnknown Code = 300
	ClaimedBefore  Code = 301
	TimedOut       Code = 302

	Syntax               Code = 400
	UnknownKey           Code = 401
	WrongType            Code = 402
	MissingKey           Code = 403
	DuplicateName        Code = 404
	NoDataCentre         Code = 405
	ServiceWithoutLeafs  Code = 406
	QueryWithoutServices Code = 407
	LimitOutOfRange      Code = 408
	UnknownReference     Code = 409
	BadAddress           Code = 410
	DuplicateKey         Code = 411
	UnknownFormat        Code = 412
	DocumentTooLarge     Code = 413
	DocumentMissing      Code = 414
	DuplicateAddress     Code = 415
	BadName              Code = 416
	ListenFailed         Code = 500
	FolderUnusable       Code = 501
	VersionConflict      Code = 600
	NoQuorum             Code = 601
	UnknownDataCentre    Code = 603
	NothingChanged       Code = 604
	ChangeIDReused       Code = 605
	NotInForce           Code = 606
	ChangeUnknown        Code = 607
	NotConfirmed         Code = 608

	FrameTooLarge  Code = 700
	FrameMalformed Code = 701
	WrongCluster   Code = 702
	Unreachable    Code = 703

	JournalDamaged  Code = 800
	JournalUnusable Code = 801

	Internal Code = 900
)

// Class returns the first digit of the code.
func (c Code) Class() int { return int(c) / 100 }

// ExitStatus returns the status with which a command that ends with this code
// leaves its shell: 0 for the class of success and the class otherwise.
func (c Code) ExitStatus() int {
	if c.Class() == ClassSuccess {
		return 0
	}
	return c.Class()
}

// Execution says whether a target has run any part of a request.
type Execution int

// The three cases of execution.
const (
	NotRun Execution = iota
	Run
	Unknown
)

// String returns the wording used in answers and in the docs.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not run"
	case Run:
		return "run"
	case Unknown:
		return "not known"
	}
	return "not known"
}

// Execution returns what a caller may conclude from the code.
func (c Code) Execution() Execution {
	switch c.Class() {
	case ClassSuccess:
		return Run
	case ClassNotRun:
		return NotRun
	}
	if c == ClaimedBefore {
		return Run
	}
	return Unknown
}

// Row is one row of the table of codes.
type Row struct {
	code    Code
	name    string
	meaning string
}

// Code returns the number of the row.
func (r Row) Code() Code { return r.code }

// Name returns the kebab-case name of the row.
func (r Row) Name() string { return r.name }

// Meaning returns one sentence for people.
func (r Row) Meaning() string { return r.meaning }

// String returns the kebab-case name of the code.
func (c Code) String() string {
	for _, row := range Table() {
		if row.code == c {
			return row.name
		}
	}
	return "unlisted-code"
}
