/* Messages between sassafrascartd processes: ONC RPC over UDP. */

const PEER_ID_MAX = 63;
const PEER_IP_MAX = 15;
const PEER_DIGEST_MAX = 64;
const PEER_CHUNK_MAX = 8192;
const PEER_LEAVING_MAX = 24;
const PEER_SLOTS_MAX = 256;
const PEER_LOADS_MAX = 64;

struct peer_member {
	string id<PEER_ID_MAX>;
	string ip<PEER_IP_MAX>;
	unsigned int http_port;
	unsigned int rpc_port;
	unsigned hyper incarnation;
};

struct peer_head {
	unsigned hyper roll;
	unsigned hyper bundle_version;
	string digest<PEER_DIGEST_MAX>;
	unsigned hyper placement_number;
};

/* A VM that is draining, as reported by any process. */
struct peer_leaving {
	string vm<PEER_ID_MAX>;
	unsigned int left_ms;
	unsigned hyper placement;
};

/* Load of a pool: slots in use plus requests waiting. pool is a hash of its
 * name. */
struct peer_load {
	unsigned int pool;
	unsigned int slots;
};

struct peer_heartbeat {
	peer_member from;
	peer_head head;
	unsigned hyper applied_roll;
	unsigned hyper applied_placement;
	bool shutting_down;
	bool caught_up;
	unsigned int confirmed_age_ms;
	peer_leaving leaving<PEER_LEAVING_MAX>;
	peer_load loads<PEER_LOADS_MAX>;
};

/* Requests the part of a document that begins at an offset in bytes. */
struct peer_fetch {
	unsigned int document;
	unsigned hyper number;
	unsigned int offset;
};

/* Part of a document. total is the size of the document, 0 if the peer does not
 * have it. */
struct peer_chunk {
	unsigned int total;
	unsigned int offset;
	opaque bytes<PEER_CHUNK_MAX>;
};

/* Slots held on a VM. vm is a hash of its name. */
struct peer_slot_count {
	unsigned hyper vm;
	unsigned int held;
	bool avoid;
};

/* Slots of a pool that a process holds and needs; sent to the pool's owner. */
struct peer_slot_report {
	string from<PEER_ID_MAX>;
	unsigned hyper pool;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int in_use;
	unsigned int waiting;
	unsigned int spare;
	peer_slot_count counts<PEER_SLOTS_MAX>;
};

/* All slots of the pool that the owner grants to the process, in reply to a
 * report. */
struct peer_slot_grant {
	string from<PEER_ID_MAX>;
	unsigned hyper pool;
	unsigned hyper incarnation;
	unsigned hyper sequence;
	unsigned int revision;
	bool learning;
	unsigned int keep;
	peer_slot_count counts<PEER_SLOTS_MAX>;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		peer_heartbeat PEER_HEARTBEAT(peer_heartbeat) = 1;
		peer_chunk PEER_FETCH(peer_fetch) = 2;
		/* Calls without a reply. */
		void PEER_SLOT_REPORT(peer_slot_report) = 3;
		void PEER_SLOT_GRANT(peer_slot_grant) = 4;
	} = 1;
} = 0x20005AFA;
