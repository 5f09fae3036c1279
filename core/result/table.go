package result

// table has one row for each result code.
var table = []Row{
	{Complete, "complete", "every service that was asked is in the answer"},
	{Partial, "partial", "some services are missing; the answer names them with reasons"},
	{NothingAnswered, "nothing-answered", "no service answered before the deadline"},
	{ChangeAccepted, "change-accepted", "the change is durable and has a version"},
	{ChangeRepeated, "change-repeated", "this change id was accepted before; its first outcome is repeated"},
	{DocumentValid, "document-valid", "the document passed every check"},

	{Overloaded, "overloaded", "no target could run the request in time; none has run any part of it"},
	{UnknownQuery, "unknown-query", "the configuration declares no query or request of this name"},
	{BadRequest, "bad-request", "the request could not be read"},
	{Stopping, "stopping", "this VM is leaving; send the request to another one"},
	{NoConfiguration, "no-configuration", "this VM has no accepted configuration yet"},
	{NoTarget, "no-target", "no target may receive the request now"},
	{NoClaim, "no-claim", "the request id could not be claimed at a quorum"},
	{DeadlineTooShort, "deadline-too-short", "the deadline is out of range or leaves no time for the request"},
	{TargetRefused, "target-refused", "the target itself refused the request before running it"},
	{NotAllowed, "not-allowed", "the method or path is not served here"},
	{Unconfirmed, "unconfirmed", "this VM waits for a confirmation of its configuration; send the request to another one"},
	{UnknownTeam, "unknown-team", "the request has no key, or one that no team holds"},
	{OverQuota, "over-quota", "the team has used its quota; the request may be sent again after the stated time"},
	{OverCapacity, "over-capacity", "this VM has no memory or connection left for the request"},

	{OutcomeUnknown, "outcome-unknown", "the request was sent and no response was received; it may have run"},
	{TimedOut, "timed-out", "no usable response was received in time; the request may have run"},
	{ClaimedBefore, "claimed-before", "this request id has run before; the first outcome is repeated"},

	{Syntax, "syntax", "the text is not JSON with comments, or it ends early"},
	{UnknownKey, "unknown-key", "the key is not known at this place"},
	{WrongType, "wrong-type", "the value has the wrong type for its key"},
	{MissingKey, "missing-key", "a required key is missing"},
	{DuplicateName, "duplicate-name", "the name occurs more than once in the same list"},
	{NoDataCentre, "no-data-centre", "a target names no data centre, or one that is not declared"},
	{ServiceWithoutLeafs, "service-without-leafs", "a service has no leafs"},
	{QueryWithoutServices, "query-without-services", "a query names no service"},
	{LimitOutOfRange, "limit-out-of-range", "a number is outside its range"},
	{UnknownReference, "unknown-reference", "a name refers to nothing that is declared"},
	{BadAddress, "bad-address", "an address is not an IP address and a port"},
	{DuplicateKey, "duplicate-key", "the key occurs more than once in one object"},
	{UnknownFormat, "unknown-format", "the format number is not one that this program reads"},
	{DocumentTooLarge, "document-too-large", "the document is larger than the limit"},
	{DocumentMissing, "document-missing", "the file could not be opened"},
	{DuplicateAddress, "duplicate-address", "two targets have the same address"},
	{BadName, "bad-name", "a name is empty or has characters outside a-z, 0-9 and -"},

	{ListenFailed, "listen-failed", "the process could not listen on an address of the settings"},
	{FolderUnusable, "folder-unusable", "the data folder could not be read or written"},

	{VersionConflict, "version-conflict", "the change was made from a version that is no longer the current one"},
	{NoQuorum, "no-quorum", "the voters could not be reached; the change may be sent again with its id"},
	{UnknownDataCentre, "unknown-data-centre", "the configuration declares no data centre of this name"},
	{NothingChanged, "nothing-changed", "the change leaves the configuration as it is"},
	{ChangeIDReused, "change-id-reused", "the change id belongs to another change"},
	{NotInForce, "not-in-force", "the wait ended before the version was in force everywhere"},
	{ChangeUnknown, "change-unknown", "the outcome of the change is not known; send it again with its id"},
	{NotConfirmed, "not-confirmed", "some VMs have not confirmed the version"},
	{OrderAbandoned, "order-abandoned", "the operator no longer waits for the outcome of its order, which is not passed on"},

	{FrameTooLarge, "frame-too-large", "a frame is longer than the limit"},
	{FrameMalformed, "frame-malformed", "a frame could not be decoded"},
	{WrongCluster, "wrong-cluster", "a peer belongs to another cluster"},
	{Unreachable, "unreachable", "no connection to a process could be made, or a connection to a process or caller failed"},

	{JournalDamaged, "journal-damaged", "a record in the middle of the journal has a wrong checksum"},
	{JournalUnusable, "journal-unusable", "the journal could not be written or synced"},
	{RecordTooLarge, "record-too-large", "a record is empty or too long for the journal; nothing was written"},

	{Internal, "internal", "an internal error of the program; please report it"},
}

// Table returns the name and meaning of every result code.
func Table() []Row { return table }
