package result

// Table lists every code in ascending order.
var Table = []Entry{
	{OK, "ok", 200, "the whole answer was delivered"},
	{BadRequest, "bad_request", 400, "the request is not well formed"},
	{BodyTooLarge, "body_too_large", 413, "the body is larger than the entry accepts"},
	{UnknownModel, "unknown_model", 404, "no class of the tree serves this model"},
	{UnknownClass, "unknown_class", 404, "the tree has no such class"},
	{UnknownTeam, "unknown_team", 401, "no team of the tree has this bearer key"},
	{UnknownService, "unknown_service", 404, "no class of the tree serves this service"},
	{DuplicateKey, "duplicate_key", 409, "another request already claimed this idempotency key"},
	{HeadersTooLarge, "headers_too_large", 431, "the headers are larger than the entry accepts"},
	{NotFound, "not_found", 404, "no such path"},
	{BadKey, "bad_key", 400, "the idempotency key is empty, too long or not allowed for this class"},
	{BodyLate, "body_late", 408, "the body did not come within the time allowed"},
	{QueueFull, "queue_full", 503, "every agent in reach has a full queue of this tier or above"},
	{GaveUp, "gave_up", 503, "no endpoint had room before the class's give-up time"},
	{TeamLimit, "team_limit", 429, "the team's rate or concurrency limit is reached"},
	{NoEndpoint, "no_endpoint", 503, "no live endpoint serves the target"},
	{Draining, "draining", 503, "this entry is stopping"},
	{NotReady, "not_ready", 503, "this entry has no settings or no agents yet"},
	{EntryFull, "entry_full", 503, "this entry holds as many requests as it may"},
	{RetriesUsed, "retries_used", 502, "the request's attempts or its class's retry budget are used up"},
	{NoRegion, "no_region", 503, "no endpoint of the service is in a region where the request may be served"},
	{Evacuated, "evacuated", 503, "all data centres with endpoints of the service are evacuated"},
	{WarmingUp, "warming_up", 503, "all endpoints of the service warm up and bear no more for now"},
	{Limited, "limited", 503, "all endpoints of the service get as many requests as they name as their limit"},
	{Overloaded, "overloaded", 503, "all endpoints of the service have asked this entry to back off"},
	{EndpointFailed, "endpoint_failed", 502, "the endpoint failed or refused while it ran the request"},
	{EndpointLost, "endpoint_lost", 502, "the connection to the agent was lost after the start"},
	{Stalled, "stalled", 504, "the endpoint sent nothing for longer than allowed"},
	{Cancelled, "cancelled", 499, "the caller hung up"},
	{Preempted, "preempted", 503, "a higher tier took the slot"},
	{Unresumable, "unresumable", 502, "the attempt broke off and the answer so far cannot be continued"},
	{Quarantined, "quarantined", 503, "endpoints that ran this request, or others with a part of its prompt, have crashed; it is held for a while"},
	{Unread, "unread", 499, "the caller read nothing of its answer for too long"},
	{StreamUnknown, "stream_unknown", 503, "it is not known which software version began the stream, so it can't be resumed; begin it anew"},
	{VersionGone, "version_gone", 503, "no endpoint runs the software version that began the stream, so it can't be resumed; begin it anew"},
	{StreamElsewhere, "stream_elsewhere", 503, "this entry is out of touch with those that may know which software version began the stream; resume it at another"},
	{AgentLeaving, "agent_leaving", 503, "the agent takes no new work"},
	{AgentFull, "agent_full", 503, "the agent's queue holds only work of this tier or above"},
	{Evicted, "evicted", 503, "a higher tier took the place in the agent's queue"},
	{SlotGone, "slot_gone", 503, "the start came after the held slot had been given back"},
	{AgentNoTarget, "agent_no_target", 503, "the agent has no endpoint for the target"},
	{Withdrawn, "withdrawn", 503, "the owner took the offer back"},
	{ClaimUnavailable, "claim_unavailable", 503, "the key could not be claimed before the give-up time"},
	{StoreUnavailable, "store_unavailable", 503, "the platform's key-value service does not answer"},
	{SettingsInvalid, "settings_invalid", 422, "the changed tree would not be valid"},
	{SettingsConflict, "settings_conflict", 409, "another change of the same node was accepted first"},
	{SettingsUnknown, "settings_unknown", 504, "whether the change was accepted is not known"},
	{SettingsVersion, "settings_version", 404, "the history has no such version"},
	{FileUnreadable, "file_unreadable", 500, "a settings file cannot be read"},
	{FileSyntax, "file_syntax", 500, "a settings file is not JSON"},
	{FileField, "file_field", 500, "a field of a settings file is missing or wrong"},
}

var byCode = index(Table)

func index(entries []Entry) map[Code]Entry {
	m := make(map[Code]Entry, len(entries))
	for _, e := range entries {
		m[e.Code] = e
	}
	return m
}
