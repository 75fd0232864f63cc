package org.berylwick.pgm;

/** Keys of the catalogue of messages. */
enum Message {
    /** What stands before each message on the error output. */
    PREFIX,
    /** Help of the whole program. */
    DESCRIPTION,
    /** End of the help of the whole program. */
    EPILOG,
    /** End of the help of one command. */
    EXAMPLES,
    /** Follows an argument that cannot be read. */
    SEE_HELP,
    /** Help of apply. */
    APPLY_HELP,
    /** Examples of apply. */
    APPLY_EXAMPLES,
    /** Help of validate. */
    VALIDATE_HELP,
    /** Examples of validate. */
    VALIDATE_EXAMPLES,
    /** Help of get. */
    GET_HELP,
    /** Examples of get. */
    GET_EXAMPLES,
    /** Help of diff. */
    DIFF_HELP,
    /** Examples of diff. */
    DIFF_EXAMPLES,
    /** Help of history. */
    HISTORY_HELP,
    /** Examples of history. */
    HISTORY_EXAMPLES,
    /** Help of rollback. */
    ROLLBACK_HELP,
    /** Examples of rollback. */
    ROLLBACK_EXAMPLES,
    /** Help of status. */
    STATUS_HELP,
    /** Examples of status. */
    STATUS_EXAMPLES,
    /** Help of route. */
    ROUTE_HELP,
    /** Examples of route. */
    ROUTE_EXAMPLES,
    /** Help of members. */
    MEMBERS_HELP,
    /** Examples of members. */
    MEMBERS_EXAMPLES,
    /** Help of drain. */
    DRAIN_HELP,
    /** Examples of drain. */
    DRAIN_EXAMPLES,
    /** Help of undrain. */
    UNDRAIN_HELP,
    /** Examples of undrain. */
    UNDRAIN_EXAMPLES,
    /** Help of audit. */
    AUDIT_HELP,
    /** Examples of audit. */
    AUDIT_EXAMPLES,
    /** Help of explain. */
    EXPLAIN_HELP,
    /** Examples of explain. */
    EXPLAIN_EXAMPLES,
    /** No line names the request. */
    EXPLAIN_UNKNOWN,
    /** Help of an argument. */
    OPTION_REQUEST_ID,
    /** Help of an argument. */
    OPTION_LOGS,
    /** Help of completion. */
    COMPLETION_HELP,
    /** Examples of completion. */
    COMPLETION_EXAMPLES,
    /** Help of an option. */
    OPTION_ADMIN,
    /** Help of an option. */
    OPTION_TOKEN_FILE,
    /** Help of an option. */
    OPTION_OUTPUT,
    /** Help of an argument. */
    OPTION_PATHS,
    /** Help of an option. */
    OPTION_BASE,
    /** Help of an option. */
    OPTION_DRY_RUN,
    /** Help of an option. */
    OPTION_OPERATION_ID,
    /** Help of an option. */
    OPTION_AUTHOR,
    /** Help of an option. */
    OPTION_MESSAGE,
    /** Help of an option. */
    OPTION_WAIT,
    /** Help of an option. */
    OPTION_TIMEOUT,
    /** Help of an option. */
    OPTION_ON,
    /** Help of an argument. */
    OPTION_OBJECT,
    /** Help of an option. */
    OPTION_VERSION,
    /** Help of an argument. */
    OPTION_FROM,
    /** Help of an argument. */
    OPTION_TO,
    /** Help of an argument. */
    OPTION_TO_VERSION,
    /** Help of an option. */
    OPTION_LIMIT,
    /** Help of an option. */
    OPTION_WATCH,
    /** Help of an option. */
    OPTION_INTERVAL,
    /** Help of an option. */
    OPTION_ROUNDS,
    /** Help of an argument. */
    OPTION_HOST,
    /** Help of an argument. */
    OPTION_PATH,
    /** Help of an option. */
    OPTION_METHOD,
    /** Help of an option. */
    OPTION_SERVICE,
    /** Help of an argument. */
    OPTION_INSTANCE,
    /** Help of an option. */
    OPTION_FILTER_AUTHOR,
    /** Help of an option. */
    OPTION_FILTER_OBJECT,
    /** Help of an option. */
    OPTION_FILTER_RESULT,
    /** Help of an option. */
    OPTION_SINCE,
    /** Help of an argument. */
    OPTION_SHELL,
    /** A change was accepted. */
    ACCEPTED,
    /** A repeat was recognised. */
    ACCEPTED_BEFORE,
    /** End of a dry run. */
    DRY_RUN,
    /** A change that changes nothing. */
    UNCHANGED,
    /** Faults were listed. */
    REJECTED,
    /** A rollback broke a rule. */
    REJECTED_ROLLBACK,
    /** Faults were listed offline. */
    INVALID,
    /** The end of a list that is cut. */
    AND_MORE,
    /** Another operator was first. */
    CONFLICT,
    /** It is not known whether a change was accepted. */
    UNDECIDED,
    /** The daemon is newer than the command line. */
    NOT_UNDERSTOOD,
    /** The platform has an outage. */
    STORE_UNAVAILABLE,
    /** No daemon listens there. */
    NO_CONNECTION,
    /** Something else listens there. */
    NOT_ADMIN,
    /** A call failed half-way. */
    NO_ANSWER,
    /** The token is missing or wrong. */
    UNAUTHENTICATED,
    /** A limit was met. */
    EXHAUSTED,
    /** The daemon would not do it. */
    REFUSED,
    /** There is no such thing. */
    NOT_FOUND,
    /** An address cannot be read. */
    BAD_ADDRESS,
    /** A token file cannot be read. */
    BAD_TOKEN_FILE,
    /** A length of time cannot be read. */
    BAD_DURATION,
    /** A document cannot be read. */
    BAD_FILE,
    /** A folder has no documents. */
    EMPTY_FOLDER,
    /** An object name cannot be read. */
    BAD_OBJECT,
    /** A base cannot be read. */
    BAD_BASE_FILE,
    /** An object is not declared. */
    NO_OBJECT,
    /** Documents are valid. */
    VALID,
    /** Heading of get. */
    VERSION,
    /** Heading of status; ends with the number. */
    NEWEST_VERSION,
    /** Two versions are equal. */
    NO_DIFFERENCE,
    /** The wait is over. */
    IN_FORCE,
    /** Progress of a wait. */
    WAITING,
    /** The wait was too short. */
    STILL_LAGGING,
    /** A request would be answered 404. */
    NO_ROUTE,
    /** Nothing serves a service. */
    NO_CANDIDATES,
    /** A drain was begun. */
    DRAINED,
    /** A drain was ended. */
    UNDRAINED,
    /** What the list holds. */
    AUDIT_NOTE,
    /** The store was not reached. */
    HISTORY_MISSING
}
