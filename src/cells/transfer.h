/* The transfer of one job between two cells, as two state machines: the home, whose users submitted
 * the job, and a guest that may run it for the home. docs/cells.md has the argument for its safety.
 *
 * Pure functions on plain values: events and a time in, actions out. Times are each side's own
 * steady clock, in seconds. Both sides keep a durable record in their cell's key-value store,
 * written by compare-and-swap. A write is an action, its outcome an event; nothing that depends on
 * a write is done before its outcome is known. */
#ifndef RR_CELLS_TRANSFER_H
#define RR_CELLS_TRANSFER_H

#include <stdbool.h>
#include <stdint.h>

/* What a job came to; NONE: it is open. */
enum rr_job_answer { RR_ANSWER_NONE, RR_ANSWER_DONE, RR_ANSWER_CANCELLED };

/* ---- messages between cells ---- */
enum rr_transfer_kind {
    RR_TRANSFER_NOTHING,
    RR_TRANSFER_OFFER,  /* home: take this job under this claim */
    RR_TRANSFER_REFUSE, /* guest: I do not take it, or I give it back */
    RR_TRANSFER_RENEW,  /* guest: I hold it; may I run it? */
    RR_TRANSFER_GRANT,  /* home: you may, for a lease from when you asked */
    RR_TRANSFER_VOID,   /* home: this claim has ended */
    RR_TRANSFER_ENDED,  /* guest: this is what the job came to; repeated until void or acknowledged
                         */
    RR_TRANSFER_ACK     /* home: the answer is recorded */
};

typedef struct {
    enum rr_transfer_kind kind;
    uint32_t claim;
    enum rr_job_answer answer; /* with ENDED */
    /* With RENEW, and returned with GRANT: the guest's clock when it asked, and its process, as a
     * steady clock means nothing to a later one. */
    double sent_at;
    uint64_t asker;
} rr_transfer_message;

/* Times that both cells agree on by their settings. */
typedef struct {
    double lease_s; /* of a grant, from the time at which the guest asked */
    double rest_s;  /* from a grant's end until nothing of the job is left at the guest, whatever
                       happens: its workers' lease and the time to stop */
    double drift;   /* part by which steady clocks may differ */
} rr_transfer_times;

/* ---- home ---- */
enum rr_home_state {
    RR_HOME_LOCAL,   /* it may run here, once the last grant has certainly ended */
    RR_HOME_OFFERED, /* no task is placed here; a guest may hold it, and run it while granted */
    RR_HOME_FINAL
};

/* Durable. claim: the number of the last offer; each offer has a new one. */
typedef struct {
    enum rr_home_state state;
    uint32_t claim;
    uint32_t guest;
    enum rr_job_answer answer;
} rr_home_record;

typedef struct {
    rr_home_record record;  /* as last written or read */
    rr_home_record writing; /* the write that is under way, */
    bool writes;            /* if one is */
    bool running;           /* tasks of it are placed here and not known to be terminated */
    double free_at;         /* until then a guest may run it under an earlier grant */
} rr_home;

enum rr_home_action { RR_HOME_NOTHING, RR_HOME_WRITE };

/* What an event asks for: a write of home->writing, a message to record.guest, or both. */
typedef struct {
    enum rr_home_action action;
    rr_transfer_message message;
} rr_home_step;

/* A controller takes the job over, also after a restart: what an earlier one granted is unknown. */
void rr_home_load(rr_home *home, const rr_home_record *record, bool running, double now,
                  const rr_transfer_times *times);
/* Whether tasks of it may be placed here. */
bool rr_home_may_run(const rr_home *home, double now);
/* Offers the job to a guest; nothing happens while it may run elsewhere, or runs here. */
rr_home_step rr_home_offer(rr_home *home, uint32_t guest, double now);
/* Takes an offered job back, since the guest does not respond or the user has cancelled. */
rr_home_step rr_home_withdraw(rr_home *home);
/* The job has become final. */
rr_home_step rr_home_end(rr_home *home, enum rr_job_answer answer);
/* Outcome of a write. done false: a conflict, or unknown; the record has to be read and loaded
 * again. */
rr_home_step rr_home_written(rr_home *home, bool done);
/* A message from guest `from`. */
rr_home_step rr_home_receive(rr_home *home, uint32_t from, const rr_transfer_message *message,
                             double now, const rr_transfer_times *times);
/* The offer again, while it stands. */
rr_home_step rr_home_repeat(const rr_home *home);

/* ---- guest ---- */
enum rr_guest_state {
    RR_GUEST_NONE,
    RR_GUEST_HELD, /* it may run while granted */
    RR_GUEST_ENDED /* the home needs the answer */
};

/* Durable. */
typedef struct {
    enum rr_guest_state state;
    uint32_t claim;
    enum rr_job_answer answer;
} rr_guest_record;

typedef struct {
    rr_guest_record record, writing;
    bool writes;
    bool running;         /* tasks of it are placed here and not known to be terminated */
    bool terminated;      /* the home has ended the claim: tasks stop, then the record goes */
    double granted_until; /* 0: this process knows of no grant */
    uint64_t process;     /* unique: the controller's lease in its own cell */
} rr_guest;

enum rr_guest_action { RR_GUEST_NOTHING, RR_GUEST_WRITE };

typedef struct {
    enum rr_guest_action action;
    rr_transfer_message message; /* to the home */
} rr_guest_step;

/* A controller takes the claim over, also after a restart: nothing is granted to it. */
void rr_guest_load(rr_guest *guest, const rr_guest_record *record, bool running, uint64_t process);
/* Whether tasks may be placed and go on; otherwise they are stopped. */
bool rr_guest_may_run(const rr_guest *guest, double now);
/* A message from the home. room: an offer may be taken. */
rr_guest_step rr_guest_receive(rr_guest *guest, const rr_transfer_message *message, bool room,
                               const rr_transfer_times *times);
/* Outcome of a write, as in rr_home_written(). */
rr_guest_step rr_guest_written(rr_guest *guest, bool done);
/* The job has become final here. */
rr_guest_step rr_guest_end(rr_guest *guest, enum rr_job_answer answer);
/* Asks for the next grant, or repeats the answer; deletes the record of an ended claim once its
 * tasks have stopped. */
rr_guest_step rr_guest_repeat(rr_guest *guest, double now);

#endif
