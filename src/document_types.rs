#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = "What gateways accept of callers."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    #[doc = "How long the head of a request may take to arrive."]
    pub header_timeout_ms: ::std::num::NonZeroU64,
    #[doc = "How long a connection may stay unused."]
    pub idle_timeout_ms: ::std::num::NonZeroU64,
    #[doc = "The longest body of a request."]
    pub max_body_bytes: ::std::num::NonZeroU64,
    #[doc = "The longest head of a request."]
    pub max_header_bytes: ::std::num::NonZeroU64,
}
#[doc = "What a customer may use, over all entries together."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    #[doc = "Tokens of prompts and answers in progress at one time."]
    pub concurrent_tokens: ::std::num::NonZeroU64,
    #[doc = "Requests a second."]
    pub requests_per_s: ::std::num::NonZeroU64,
}
#[doc = "Who sends requests, recognised by an API key."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub contract: ::std::option::Option<Contract>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub key_sha256: ::std::option::Option<KeySha256>,
    #[doc = "Further API keys, as `key_sha256`."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub more_keys_sha256: ::std::vec::Vec<KeySha256>,
    pub name: Name,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub quota: ::std::option::Option<Quota>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub tier: ::std::option::Option<Name>,
}
#[doc = "The one document that changes what guavacove does."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Document {
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub caller_limits: ::std::option::Option<CallerLimits>,
    #[doc = "Who may send requests."]
    pub customers: ::std::vec::Vec<Customer>,
    #[doc = "The version of this format."]
    pub format: ::std::num::NonZeroU64,
    #[doc = "Requests that gateways route by host and path. No two have the same host and path prefix."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub routes: ::std::vec::Vec<Route>,
    #[doc = "Which requests are idempotent, and which tier they have. The first rule that matches decides."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub rules: ::std::vec::Vec<Rule>,
    #[doc = "The services that requests are routed to."]
    pub services: ::std::vec::Vec<Service>,
    #[doc = "The tiers; no two have the same rank."]
    pub tiers: ::std::vec::Vec<Tier>,
}
#[doc = "Whether running a request twice is harmless."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Idempotency {
    #[serde(rename = "idempotent")]
    Idempotent,
    #[serde(rename = "non-idempotent")]
    NonIdempotent,
}
impl ::std::fmt::Display for Idempotency {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Idempotent => f.write_str("idempotent"),
            Self::NonIdempotent => f.write_str("non-idempotent"),
        }
    }
}
impl ::std::str::FromStr for Idempotency {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "idempotent" => Ok(Self::Idempotent),
            "non-idempotent" => Ok(Self::NonIdempotent),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Idempotency {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Idempotency {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The SHA-256 of a customer's API key, in hexadecimal."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct KeySha256(::std::string::String);
impl ::std::ops::Deref for KeySha256 {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<KeySha256> for ::std::string::String {
    fn from(value: KeySha256) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for KeySha256 {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> =
            ::std::sync::LazyLock::new(|| ::regress::Regex::new("^[0-9a-f]{64}$").unwrap());
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[0-9a-f]{64}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for KeySha256 {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for KeySha256 {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for KeySha256 {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "A name: lower-case letters, digits and hyphens, 63 at most."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct Name(::std::string::String);
impl ::std::ops::Deref for Name {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<Name> for ::std::string::String {
    fn from(value: Name) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for Name {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> =
            ::std::sync::LazyLock::new(|| {
                ::regress::Regex::new("^[a-z0-9][a-z0-9-]{0,62}$").unwrap()
            });
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[a-z0-9][a-z0-9-]{0,62}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for Name {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Name {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for Name {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "What a customer may send by routes, over all gateways together: a rate and a burst."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    #[doc = "Requests or tokens beyond the rate at one time."]
    pub burst: u64,
    #[doc = "The tokens that a request counts as that states none."]
    #[serde(default = "defaults::default_u64::<u64, 1>")]
    pub plain_tokens: u64,
    #[doc = "Requests or tokens a second; 0 means no limit."]
    pub rate_per_s: u64,
    pub unit: QuotaUnit,
}
#[doc = "What a quota counts."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum QuotaUnit {
    #[serde(rename = "requests")]
    Requests,
    #[serde(rename = "tokens")]
    Tokens,
}
impl ::std::fmt::Display for QuotaUnit {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Requests => f.write_str("requests"),
            Self::Tokens => f.write_str("tokens"),
        }
    }
}
impl ::std::str::FromStr for QuotaUnit {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "requests" => Ok(Self::Requests),
            "tokens" => Ok(Self::Tokens),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for QuotaUnit {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for QuotaUnit {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Requests of one host whose path begins with a prefix. The longest prefix decides."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Route {
    #[doc = "The host that callers name."]
    pub host: RouteHost,
    #[doc = "How many targets one request may be sent to."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 1>")]
    pub max_targets: ::std::num::NonZeroU64,
    #[doc = "Names the route."]
    pub name: RouteName,
    #[doc = "The time within which an answer is of full value; of a stream, its first event."]
    pub objective_ms: u64,
    #[doc = "Begins and ends with a slash."]
    pub path_prefix: RoutePathPrefix,
    #[doc = "The longest pause between events of a stream that is of full value; 0 means that none is stated."]
    #[serde(default)]
    pub pause_ms: u64,
    #[doc = "Whether callers need no API key."]
    #[serde(default)]
    pub public: bool,
    pub repeat: RouteRepeat,
    #[doc = "Whether requests share parts of their prompts."]
    #[serde(default)]
    pub shares_prefixes: bool,
    #[doc = "How long callers wait for the next event of a stream before they leave; 0 means until their deadline."]
    #[serde(default)]
    pub silence_ms: u64,
    #[doc = "Whether the answer is a stream of events."]
    pub streams: bool,
    #[doc = "Where the requests go."]
    pub targets: ::std::vec::Vec<RouteTarget>,
    pub tier: Name,
    #[doc = "The longest time until a final answer, in milliseconds."]
    pub timeout_ms: ::std::num::NonZeroU64,
}
#[doc = "The host that callers name."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RouteHost(::std::string::String);
impl ::std::ops::Deref for RouteHost {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RouteHost> for ::std::string::String {
    fn from(value: RouteHost) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RouteHost {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 255usize {
            return Err("longer than 255 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RouteHost {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteHost {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RouteHost {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "Names the route."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RouteName(::std::string::String);
impl ::std::ops::Deref for RouteName {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RouteName> for ::std::string::String {
    fn from(value: RouteName) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RouteName {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 200usize {
            return Err("longer than 200 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RouteName {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteName {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RouteName {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "Begins and ends with a slash."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RoutePathPrefix(::std::string::String);
impl ::std::ops::Deref for RoutePathPrefix {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RoutePathPrefix> for ::std::string::String {
    fn from(value: RoutePathPrefix) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RoutePathPrefix {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> =
            ::std::sync::LazyLock::new(|| ::regress::Regex::new("^/(.*/)?$").unwrap());
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^/(.*/)?$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RoutePathPrefix {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RoutePathPrefix {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RoutePathPrefix {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "What may be repeated: `idempotent` requests may run more than once, `resumable` streams may go on at another target after their last event, anything else runs at most once."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum RouteRepeat {
    #[serde(rename = "idempotent")]
    Idempotent,
    #[serde(rename = "resumable")]
    Resumable,
    #[serde(rename = "never")]
    Never,
}
impl ::std::fmt::Display for RouteRepeat {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Idempotent => f.write_str("idempotent"),
            Self::Resumable => f.write_str("resumable"),
            Self::Never => f.write_str("never"),
        }
    }
}
impl ::std::str::FromStr for RouteRepeat {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "idempotent" => Ok(Self::Idempotent),
            "resumable" => Ok(Self::Resumable),
            "never" => Ok(Self::Never),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for RouteRepeat {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RouteRepeat {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A service that a route sends to, and its part of the requests."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RouteTarget {
    pub service: Name,
    #[doc = "Its part, as against the sum of the weights of the route."]
    pub weight: i64,
}
#[doc = "Says of some requests whether they are idempotent and which tier they have."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    #[doc = "The customers that it is for; none means all."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub customers: ::std::vec::Vec<Name>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub idempotency: ::std::option::Option<Idempotency>,
    #[doc = "The HTTP methods that it is for; none means all."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub methods: ::std::vec::Vec<RuleMethodsItem>,
    #[doc = "The start of the paths that it is for."]
    #[serde(default = "defaults::rule_path_prefix")]
    pub path_prefix: RulePathPrefix,
    #[doc = "Repeats an idempotent request whose fate is unknown."]
    #[serde(default)]
    pub repeat_when_unknown: bool,
    pub service: Name,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub tier: ::std::option::Option<Name>,
}
#[doc = "`RuleMethodsItem`"]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RuleMethodsItem(::std::string::String);
impl ::std::ops::Deref for RuleMethodsItem {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RuleMethodsItem> for ::std::string::String {
    fn from(value: RuleMethodsItem) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for RuleMethodsItem {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> =
            ::std::sync::LazyLock::new(|| ::regress::Regex::new("^[A-Z]{1,16}$").unwrap());
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^[A-Z]{1,16}$\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RuleMethodsItem {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RuleMethodsItem {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RuleMethodsItem {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "The start of the paths that it is for."]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct RulePathPrefix(::std::string::String);
impl ::std::ops::Deref for RulePathPrefix {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<RulePathPrefix> for ::std::string::String {
    fn from(value: RulePathPrefix) -> Self {
        value.0
    }
}
impl ::std::default::Default for RulePathPrefix {
    fn default() -> Self {
        RulePathPrefix("/".to_string())
    }
}
impl ::std::str::FromStr for RulePathPrefix {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        static PATTERN: ::std::sync::LazyLock<::regress::Regex> =
            ::std::sync::LazyLock::new(|| ::regress::Regex::new("^/").unwrap());
        if PATTERN.find(value).is_none() {
            return Err("doesn't match pattern \"^/\"".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for RulePathPrefix {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for RulePathPrefix {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for RulePathPrefix {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "A set of targets that do the same work."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Service {
    #[doc = "The paths at which a target tells its name or when it started. They are asked in this order, by GET, after a response that has neither a length nor chunks; without a path, whatever accepts a connection counts as the target."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub identity_paths: ::std::vec::Vec<ServiceIdentityPathsItem>,
    pub kind: ServiceKind,
    #[doc = "How many connections one target takes from all gateways together; 0 means no limit."]
    #[serde(default)]
    pub max_connections: u64,
    #[doc = "The tokens assumed for an answer that names no limit."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 512>")]
    pub max_tokens: ::std::num::NonZeroU64,
    #[doc = "How many tokens of prompts and answers one target of a model service keeps in its memory; 0 means unknown."]
    #[serde(default)]
    pub memory_tokens: u64,
    #[doc = "The model names that choose this service."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub models: ::std::vec::Vec<ServiceModelsItem>,
    pub name: Name,
    #[doc = "How many requests may wait at one target."]
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 64>")]
    pub queue_requests: ::std::num::NonZeroU64,
    #[doc = "Refuses non-idempotent requests without an Idempotency-Key."]
    #[serde(default)]
    pub require_key: bool,
}
#[doc = "`ServiceIdentityPathsItem`"]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ServiceIdentityPathsItem(::std::string::String);
impl ::std::ops::Deref for ServiceIdentityPathsItem {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ServiceIdentityPathsItem> for ::std::string::String {
    fn from(value: ServiceIdentityPathsItem) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ServiceIdentityPathsItem {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 20000usize {
            return Err("longer than 2000 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ServiceIdentityPathsItem {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceIdentityPathsItem {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ServiceIdentityPathsItem {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "A model engine that streams tokens, or a plain HTTP service."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ServiceKind {
    #[serde(rename = "model")]
    Model,
    #[serde(rename = "plain")]
    Plain,
}
impl ::std::fmt::Display for ServiceKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Model => f.write_str("model"),
            Self::Plain => f.write_str("plain"),
        }
    }
}
impl ::std::str::FromStr for ServiceKind {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "model" => Ok(Self::Model),
            "plain" => Ok(Self::Plain),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`ServiceModelsItem`"]
#[derive(:: serde :: Serialize, Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(transparent)]
pub struct ServiceModelsItem(::std::string::String);
impl ::std::ops::Deref for ServiceModelsItem {
    type Target = ::std::string::String;
    fn deref(&self) -> &::std::string::String {
        &self.0
    }
}
impl ::std::convert::From<ServiceModelsItem> for ::std::string::String {
    fn from(value: ServiceModelsItem) -> Self {
        value.0
    }
}
impl ::std::str::FromStr for ServiceModelsItem {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        if value.chars().count() > 200usize {
            return Err("longer than 200 characters".into());
        }
        if value.chars().count() < 1usize {
            return Err("shorter than 1 characters".into());
        }
        Ok(Self(value.to_string()))
    }
}
impl ::std::convert::TryFrom<&str> for ServiceModelsItem {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServiceModelsItem {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl<'de> ::serde::Deserialize<'de> for ServiceModelsItem {
    fn deserialize<D>(deserializer: D) -> ::std::result::Result<Self, D::Error>
    where
        D: ::serde::Deserializer<'de>,
    {
        ::std::string::String::deserialize(deserializer)?
            .parse()
            .map_err(|e: self::error::ConversionError| {
                <D::Error as ::serde::de::Error>::custom(e.to_string())
            })
    }
}
#[doc = "A class of requests that are shed together."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    #[doc = "How long a request may take until its answer is whole, in milliseconds."]
    pub deadline_ms: i64,
    pub name: Name,
    #[doc = "0 is the highest tier and is shed last."]
    pub rank: i64,
}
#[doc = " Generation of default values for serde."]
pub mod defaults {
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn rule_path_prefix() -> super::RulePathPrefix {
        super::RulePathPrefix("/".to_string())
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
