// Package quarantine learns which parts of prompts crash endpoints, and decides which requests may be sent.
//
// A part crashes each endpoint that begins a response on it, whatever else the request holds, and every request that was
// there at that moment fails with it. So a crash implicates the shared parts of all of them, and a response that is served clears
// the parts of its request. A part is quarantined once enough endpoints have crashed under it since it was last cleared. The
// last part of a prompt belongs to one request or session and is never a suspect.
//
// All instances of a fleet exchange what they see. A Ledger has no clock and no network; callers pass the time, and carry
// its reports to the ledgers of other instances.
package quarantine
