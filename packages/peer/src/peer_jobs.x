/* Calls of the job service, forwarded between processes: ONC RPC over TCP with
 * record marking. */

const PJB_TEXT_MAX = 255;
const PJB_ID_MAX = 16;
const PJB_SPEC_MAX = 1048576;

struct pjb_call {
	unsigned int verb;
	unsigned int deadline_ms;
	string queue<PJB_TEXT_MAX>;
	string id<PJB_ID_MAX>;
	string spec<PJB_SPEC_MAX>;
};

struct pjb_answer {
	unsigned int outcome;
	unsigned int state;
	unsigned int waiting;
	unsigned int retry_after_ms;
	string why<PJB_TEXT_MAX>;
};

/* Follows a call with a client account. Older processes skip it. */
struct pjb_account {
	string name<PJB_TEXT_MAX>;
};

/* Follows an answer of a process that knows how old its configuration is. Older
 * processes skip it. */
struct pjb_confirmation {
	unsigned hyper config_version;
	unsigned int age_ms;
};

program SASSAFRASCART_JOBS {
	version SASSAFRASCART_JOBS_V1 {
		pjb_answer SASSAFRASCART_JOB_CALL(pjb_call) = 1;
	} = 1;
} = 0x20005A54;
