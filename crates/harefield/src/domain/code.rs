//! The numbered result codes. `docs/ERRORS.md` holds the same table.

use serde::Deserialize;
use serde::Serialize;

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// A numbered result, stable across releases.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Code {
            $(#[doc = $text] $name,)*
        }

        impl Code {
            /// Every code, in numeric order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the code's number.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status that an answer with this code carries.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the sentence that explains the code.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Code::$name => $text,)* }
            }
        }
    };
}

codes! {
    Whole = 0, 200, "answered, every shard contributed";
    Partial = 1, 200, "answered, some shards did not contribute";
    MalformedBody = 1001, 400, "the body is not valid JSON";
    BodyTooLarge = 1002, 413, "the body exceeds the configured limit";
    WrongMethod = 1003, 405, "the path does not take this method";
    UnknownPath = 1004, 404, "no such path on this address";
    UnknownLookup = 1005, 404, "no lookup of this name is in force";
    TicketRequired = 1006, 428, "a once-only lookup needs a ticket; send again with the one given";
    MalformedTicket = 1007, 400, "the ticket was not issued by this system";
    SlowBody = 1008, 408, "the body did not arrive in time";
    TicketMismatch = 1009, 409, "the ticket belongs to another lookup or body";
    BadField = 1010, 400, "a field of the body has a wrong type or value";
    TokenRequired = 1011, 401, "this address asks for its token";
    HeadTooLarge = 1012, 431, "the head exceeds the configured limit";
    KeyRequired = 1013, 401, "the lookup asks for the key of a client account";
    KeyUnknown = 1014, 401, "no client account has this key";
    QueueFull = 2001, 503, "not run: the admission queue for this urgency is full";
    TooLate = 2002, 503, "not run: the deadline cannot be met";
    Stopping = 2003, 503, "not run: the daemon is stopping";
    NoConfiguration = 2004, 503, "not run: no configuration is in force yet";
    NoReplica = 2005, 503, "not run: no shard has a replica that may be asked";
    AllRefused = 2006, 503, "not run: every upstream asked refused before it began";
    Unconfirmed = 2007, 503, "not run: the daemon has just woken and is confirming what it knows";
    TooManyConnections = 2008, 503, "not run: too many connections are open";
    NoMember = 2009, 503, "not run: no daemon of the cell could be reached";
    TicketExpired = 2010, 410, "not run: the ticket expired before it was used";
    TeamShare = 2011, 503, "not run: the team's share of the daemon is used up";
    NotMember = 2012, 503, "not run: the daemon is not a member of the lookup's cell";
    OlderView = 2013, 503, "not run: the daemon asked has an older configuration in force";
    Withheld = 2014, 503, "not run: upstreams ended each time that they ran it";
    NoRegion = 2015, 503, "not run: no region in which the lookup may be served has who serves it";
    LimitReached = 2016, 429, "not run: the client account asks more than it may";
    LimitUnknown = 2017, 503, "not run: nobody that holds a part of the account's limit answers";
    KeyUnconfirmed = 2018, 503, "not run: the daemon cannot make sure whether the key opens anything";
    NoRoom = 2019, 503, "not run: the daemon has no memory for what it would bring";
    NoShardRoom = 2020, 503, "not run: too few shards have room in time";
    ReplyLost = 3001, 504, "may have run: an upstream was sent the request and its reply was lost";
    DeadlinePassed = 3002, 504, "may have run: the deadline passed with requests under way";
    TicketGone = 3003, 504, "may have run: the daemon that the ticket names is gone";
    PeerSilent = 3004, 504, "may have run: a daemon was sent the request and did not answer";
    OutcomeForgotten = 3005, 504, "may have run: the ticket was used and its outcome is no longer held";
    TooFewShards = 3006, 504, "ran in part: fewer shards contributed than the lookup asks for";
    UpstreamFailed = 3007, 502, "ran: the upstream replied that it failed";
    StopLimit = 3008, 504, "may have run: the daemon stopped with the request under way";
    ResourceMalformed = 4001, 422, "a resource is not valid JSON of its kind";
    ResourceUnknownKind = 4002, 422, "a key names no kind of resource";
    ResourceReference = 4003, 422, "a resource names another that does not exist";
    ResourceDuplicate = 4004, 422, "a resource lists the same thing twice";
    ResourceRange = 4005, 422, "a number of a resource is out of range";
    ResourceTooLarge = 4006, 422, "a value exceeds one megabyte";
    SettingsUnreadable = 5001, 500, "the settings file cannot be read";
    SettingsInvalid = 5002, 500, "the settings are not valid";
    BindFailed = 5003, 500, "an address cannot be listened on";
    DaemonUnreachable = 5004, 500, "the daemon cannot be reached";
    UsageWrong = 5005, 500, "the command line is not understood";
    Internal = 5006, 500, "an internal fault; the request's state is in the time line";
}

impl std::fmt::Display for Code {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "HF{:04}", self.number())
    }
}

/// The error for a text that is not a result code.
#[derive(Debug, thiserror::Error)]
#[error("{0} is not a result code")]
pub struct UnknownCode(String);

impl std::str::FromStr for Code {
    type Err = UnknownCode;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .iter()
            .copied()
            .find(|code| code.to_string() == text)
            .ok_or_else(|| UnknownCode(text.to_owned()))
    }
}

impl Serialize for Code {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Code {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
