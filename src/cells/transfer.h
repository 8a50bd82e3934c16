/* The transfer of one job between two cells, as two state machines: that of the home, whose users
 * submitted the job, and that of a guest, which may run the job for the home. docs/cells.md has the
 * argument for its safety.
 *
 * The functions do no I/O and read no clock: each takes an event, updates its state machine and
 * returns what to do next. Times are in seconds on each side's own steady clock. Both sides keep a
 * durable record in their cell's key-value store, which is written by compare-and-swap. A write is
 * requested as an action, and its outcome comes back as an event; nothing that depends on a write
 * is done before its outcome is known. */
#ifndef RR_CELLS_TRANSFER_H
#define RR_CELLS_TRANSFER_H

#include <stdbool.h>
#include <stdint.h>

/* The answer to a job's users: how the job has ended. NONE: it is still open. */
enum rr_job_answer { RR_ANSWER_NONE, RR_ANSWER_DONE, RR_ANSWER_CANCELLED };

/* ---- messages between cells ---- */

enum rr_transfer_kind {
    RR_TRANSFER_NOTHING, /* no message */
    RR_TRANSFER_OFFER,   /* home: asks the guest to take the job under this claim */
    RR_TRANSFER_REFUSE,  /* guest: does not take the job, or gives it back */
    RR_TRANSFER_RENEW,   /* guest: holds the job and asks for a grant to run it */
    RR_TRANSFER_GRANT,   /* home: allows the guest to run it until lease_s after its RENEW */
    RR_TRANSFER_VOID,    /* home: the claim has ended */
    RR_TRANSFER_ENDED,   /* guest: how the job ended; sent again until VOID or ACK arrives */
    RR_TRANSFER_ACK      /* home: the job's answer is recorded */
};

typedef struct {
    enum rr_transfer_kind kind;
    uint32_t claim;            /* number of the offer that the message is about */
    enum rr_job_answer answer; /* with ENDED */
    /* Set by the guest in RENEW and returned unchanged in GRANT. */
    double sent_at;         /* the guest's steady clock when it asked */
    uint64_t guest_process; /* rr_guest.process: a later process ignores sent_at */
} rr_transfer_message;

/* Durations on which both cells have to agree by their settings. */
typedef struct {
    double lease_s; /* how long a grant lasts, from the time at which the guest asked for it */
    /* From a grant's end until no task of the job is left at the guest, whatever fails there: its
     * workers' lease and the time to stop tasks. */
    double teardown_s;
    double drift; /* largest relative difference between two steady clocks */
} rr_transfer_times;

/* ---- home ---- */

enum rr_home_state {
    RR_HOME_LOCAL,   /* may run here, once the last grant has certainly ended */
    RR_HOME_OFFERED, /* not placed here; a guest may hold it, and run it while it has a grant */
    RR_HOME_FINAL    /* has ended */
};

/* The home's durable record of a transfer. */
typedef struct {
    enum rr_home_state state;
    uint32_t claim; /* number of the last offer, each of which has a new one; 0: never offered */
    uint32_t guest; /* index of the neighbour to which the last offer went; UINT32_MAX: it has been
                       removed from the settings */
    enum rr_job_answer answer;
} rr_home_record;

typedef struct {
    rr_home_record record;         /* as last written or read */
    rr_home_record pending_record; /* what the pending write stores, while write_pending is set */
    bool write_pending;            /* a write is pending: its outcome is not known yet */
    bool running;            /* tasks of the job are placed here and not known to have ended */
    double guest_stopped_by; /* until then a guest may still run the job under an earlier grant */
} rr_home;

enum rr_home_action { RR_HOME_NOTHING, RR_HOME_WRITE };

/* What the home has to do after an event: write home->pending_record, send a message to
 * record.guest, or both. */
typedef struct {
    enum rr_home_action action;
    rr_transfer_message message;
} rr_home_step;

/* Starts the state machine from a stored record when a controller takes the job over, also after a
 * restart. It assumes that an earlier controller sent a grant just before, as it can't know.
 * running: tasks of the job are placed here. */
void rr_home_load(rr_home *home, const rr_home_record *record, bool running, double now,
                  const rr_transfer_times *times);
/* Returns whether tasks of the job may be placed here. */
bool rr_home_may_run(const rr_home *home, double now);
/* Offers the job to a guest. Does nothing while the job may run in another cell, or runs here. */
rr_home_step rr_home_offer(rr_home *home, uint32_t guest, double now);
/* Takes an offered job back, since its guest does not respond or its user has cancelled it. */
rr_home_step rr_home_withdraw(rr_home *home);
/* Requests the write that records the job as ended with this answer. */
rr_home_step rr_home_end(rr_home *home, enum rr_job_answer answer);
/* Takes the outcome of the pending write and returns the message that follows from it. Not to be
 * called before the outcome is known. committed false: the write was not executed, or in an earlier
 * term; the record has to be loaded again. */
rr_home_step rr_home_complete_write(rr_home *home, bool committed);
/* Takes a message from the guest `from`. */
rr_home_step rr_home_receive(rr_home *home, uint32_t from, const rr_transfer_message *message,
                             double now, const rr_transfer_times *times);
/* Returns the offer to be sent again, while it stands. */
rr_home_step rr_home_resend_offer(const rr_home *home);

/* ---- guest ---- */

enum rr_guest_state {
    RR_GUEST_NONE,
    RR_GUEST_HELD, /* the job may run here while it has a grant */
    RR_GUEST_ENDED /* the job has ended here, and its home has to learn the answer */
};

/* The guest's durable record of a transfer. */
typedef struct {
    enum rr_guest_state state;
    uint32_t claim; /* number of the offer that was taken last; 0: none */
    enum rr_job_answer answer;
} rr_guest_record;

typedef struct {
    rr_guest_record record;         /* as last written or read */
    rr_guest_record pending_record; /* what the pending write stores, while write_pending is set */
    bool write_pending;             /* a write is pending: its outcome is not known yet */
    bool running;         /* tasks of the job are placed here and not known to have ended */
    bool claim_ended;     /* the home has ended the claim: tasks stop, then the record is deleted */
    double granted_until; /* end of the last grant that this process knows of; 0: none */
    uint64_t process;     /* unique for this process: its controller's lease in its own cell */
} rr_guest;

enum rr_guest_action { RR_GUEST_NOTHING, RR_GUEST_WRITE };

/* What the guest has to do after an event: write guest->pending_record, send a message to the home,
 * or both. */
typedef struct {
    enum rr_guest_action action;
    rr_transfer_message message;
} rr_guest_step;

/* Starts the state machine from a stored record when a controller takes the claim over, also after
 * a restart. It begins without a grant: those to an earlier process do not count. */
void rr_guest_load(rr_guest *guest, const rr_guest_record *record, bool running, uint64_t process);
/* Returns whether tasks of the job may be placed and go on; otherwise they have to be stopped. */
bool rr_guest_may_run(const rr_guest *guest, double now);
/* Takes a message from the home. can_accept: an offer may be taken; false: it is refused. */
rr_guest_step rr_guest_receive(rr_guest *guest, const rr_transfer_message *message, bool can_accept,
                               const rr_transfer_times *times);
/* Takes the outcome of the pending write, as rr_home_complete_write(). No message follows from it.
 */
rr_guest_step rr_guest_complete_write(rr_guest *guest, bool committed);
/* Requests the write that records the job as ended here with this answer. */
rr_guest_step rr_guest_end(rr_guest *guest, enum rr_job_answer answer);
/* Returns what is due: the request for the next grant, the answer again, or, once the tasks of an
 * ended claim have stopped, the write that deletes its record. */
rr_guest_step rr_guest_next_step(rr_guest *guest, double now);

#endif
