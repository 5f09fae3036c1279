// Package result defines the numeric result codes that all programs of the
// system print, and the error type that carries a code. docs/RESULT-CODES.md
// lists the same codes; a test compares it with the table here.
package result

// Code is a numeric result code of three digits. The first digit is its class.
type Code int

// The classes of result codes, which are their first digits.
const (
	// ClassSuccess is the class of requests, changes and checks of documents that
	// succeeded, and of NothingAnswered.
	ClassSuccess = 1
	// ClassNotRun is the class of refusals: no target has run any part of the
	// request.
	ClassNotRun = 2
	// ClassUncertain is the class of requests that may have run, and of
	// ClaimedBefore, whose request has run.
	ClassUncertain = 3
	// ClassDocument is the class of errors in a configuration or settings
	// document, and of DocumentTooLarge, which is also used for a request body.
	ClassDocument = 4
	// ClassStart is the class of errors that prevent a process from starting.
	ClassStart = 5
	// ClassChange is the class of configuration changes that were refused, have
	// an unknown outcome or are not yet in force everywhere.
	ClassChange = 6
	// ClassConnection is the class of errors of connections: those to other
	// processes, including targets, and those to callers.
	ClassConnection = 7
	// ClassStorage is the class of errors of the data folder.
	ClassStorage = 8
	// ClassInternal is the class of internal errors of the program.
	ClassInternal = 9
)

// The result codes. Table describes each of them.
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
	UnknownTeam      Code = 211
	OverQuota        Code = 212
	OverCapacity     Code = 213

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
	OrderAbandoned       Code = 609

	FrameTooLarge  Code = 700
	FrameMalformed Code = 701
	WrongCluster   Code = 702
	Unreachable    Code = 703

	JournalDamaged  Code = 800
	JournalUnusable Code = 801
	RecordTooLarge  Code = 802

	Internal Code = 900
)

// Class returns the first digit of the code.
func (c Code) Class() int { return int(c) / 100 }

// ExitStatus returns the exit status of a command that ends with this code: 0
// if the class is ClassSuccess and the class otherwise.
func (c Code) ExitStatus() int {
	if c.Class() == ClassSuccess {
		return 0
	}
	return c.Class()
}

// Execution states whether a target has run any part of a request.
type Execution int

const (
	// NotRun means that no target has run any part of the request.
	NotRun Execution = iota
	// Run means that the request was run.
	Run
	// Unknown means that the request may have run.
	Unknown
)

// String returns the wording used in answers and in docs/RESULT-CODES.md.
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

// Execution returns what the code states about the execution of the request.
// ClaimedBefore is Run although its class is ClassUncertain. For codes that do
// not concern a request, such as those of documents, the result has no meaning.
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

// Row is a row of the table of result codes.
type Row struct {
	code    Code
	name    string
	meaning string
}

// Code returns the result code.
func (r Row) Code() Code { return r.code }

// Name returns the name of the result code in kebab case.
func (r Row) Name() string { return r.name }

// Meaning returns a one-sentence description of the result code.
func (r Row) Meaning() string { return r.meaning }

// String returns the name of the code in kebab case, or "unlisted-code" if the
// table does not contain it.
func (c Code) String() string {
	for _, row := range Table() {
		if row.code == c {
			return row.name
		}
	}
	return "unlisted-code"
}
