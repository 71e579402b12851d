/*
 * Protocol between entry hosts: ONC RPC program PEER_PROGRAM.  PING, PING_REQ,
 * HEALTH, FRESH, SHARES and STRIKES go over UDP; FETCH goes over TCP with record
 * marking.  HEALTH, FRESH and SHARES are one-way: no reply is sent.
 *
 * src/generated holds the output of rpcgen; scripts/generate-xdr.sh regenerates
 * it.
 */

const PEER_NAME_LIMIT = 63;
const PEER_ADDRESS_LIMIT = 47;
const PEER_TEXT_LIMIT = 255;
const PEER_MAC_SIZE = 32;
const PEER_UPDATES = 8;
const PEER_HEALTH_ENTRIES = 16;
const PEER_FRESH_ENTRIES = 32;
const PEER_DEMAND_ENTRIES = 32;
const PEER_STRIKE_ENTRIES = 8;
const PEER_OBJECT_LIMIT = 2097152;

/* The body of the verifier of every call and reply. */
struct peer_verifier
{
  unsigned int key_id;
  string sender<PEER_NAME_LIMIT>;
  unsigned hyper boot;      /* incarnation at the sender's start */
  unsigned hyper sequence;  /* rises with each message of one boot */
  hyper sent_wall_ms;
  opaque mac[PEER_MAC_SIZE]; /* HMAC-SHA-256, computed with this field zeroed */
};

struct peer_update
{
  string host<PEER_NAME_LIMIT>;
  string data_centre<PEER_NAME_LIMIT>;
  string address<PEER_ADDRESS_LIMIT>;
  unsigned int port;
  unsigned hyper incarnation;
  unsigned int state;
};

struct peer_versions
{
  unsigned hyper sheet;
  unsigned hyper control;
  unsigned hyper assignment;
  unsigned hyper hosts;
};

/* Argument and result of PING; the result of PING_REQ. */
struct peer_ping
{
  peer_update sender;
  peer_versions versions;
  peer_update updates<PEER_UPDATES>;
};

struct peer_ping_req
{
  peer_ping ping;
  peer_update target;
};

/* The attestation of one endpoint that a prober received. */
struct peer_health
{
  string host<PEER_NAME_LIMIT>;
  string boot_id<PEER_NAME_LIMIT>;
  string group<PEER_NAME_LIMIT>;
  unsigned hyper generation;
  unsigned int rank;
  unsigned int span;
  string model<PEER_NAME_LIMIT>;
  string model_version<PEER_NAME_LIMIT>;
  string role<PEER_NAME_LIMIT>;
  string adapters<PEER_TEXT_LIMIT>;
  unsigned hyper fence;
  unsigned int state;
  bool leaving;
  unsigned int running;
  unsigned int queued;
  unsigned int slots;
  unsigned int load_age_ms;
  unsigned int seen_age_ms; /* age of the probe when sent */
};

struct peer_health_report
{
  peer_health entries<PEER_HEALTH_ENTRIES>;
};

/*
 * Refresh of an attestation of which only the load changed.  The digest stands
 * for all other fields; a receiver that holds another digest ignores the entry.
 */
struct peer_fresh
{
  unsigned int host; /* hash of its name */
  unsigned hyper digest;
  unsigned int seen_age_ms;
  unsigned int running;
  unsigned int queued;
};

struct peer_fresh_report
{
  peer_fresh entries<PEER_FRESH_ENTRIES>;
};

struct peer_demand
{
  string name<PEER_TEXT_LIMIT>;
  unsigned int demand;
};

struct peer_shares
{
  peer_demand entries<PEER_DEMAND_ENTRIES>;
};

struct peer_strike
{
  string fingerprint<PEER_NAME_LIMIT>;
  string host<PEER_NAME_LIMIT>;
  string boot_id<PEER_NAME_LIMIT>;
};

struct peer_strikes
{
  peer_strike entries<PEER_STRIKE_ENTRIES>;
};

struct peer_told_strike
{
  peer_strike strike;
  unsigned age_ms;
};

/* For a peer that joins; without entries: these were all. */
struct peer_told_strikes
{
  peer_told_strike entries<PEER_STRIKE_ENTRIES>;
};

enum peer_object_kind
{
  PEER_OBJECT_SHEET = 1,
  PEER_OBJECT_CONTROL = 2,
  PEER_OBJECT_ASSIGNMENT = 3,
  PEER_OBJECT_HOSTS = 4
};

struct peer_fetch
{
  peer_object_kind kind;
};

/* An empty json means that the peer has no such object. */
struct peer_object
{
  unsigned hyper number;
  opaque json<PEER_OBJECT_LIMIT>;
};

program PEER_PROGRAM
{
  version PEER_VERSION
  {
    void PEER_NULL (void) = 0;
    peer_ping PEER_PING (peer_ping) = 1;
    peer_ping PEER_PING_REQ (peer_ping_req) = 2;
    void PEER_HEALTH (peer_health_report) = 3;
    void PEER_SHARES (peer_shares) = 4;
    void PEER_STRIKES (peer_strikes) = 5;
    peer_object PEER_FETCH (peer_fetch) = 6;
    void PEER_FRESH (peer_fresh_report) = 7;
    void PEER_ANSWERS (peer_strikes) = 8; /* host and boot_id are empty */
    void PEER_TOLD_STRIKES (peer_told_strikes) = 9;
  } = 1;
} = 0x20577801;
