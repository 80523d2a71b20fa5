package magpiehub.dispatch;

/** The event of an expired timer of {@link RequestDispatcher}, with one record and one handler method for each kind. */
sealed interface TimerEvent {
    /** Calls the handler method for this kind of event. */
    void deliverTo(Handler handler);

    /** The handler methods, one for each kind of event. Called on the dispatcher's thread. */
    interface Handler {
        void onRequestOverdue(RequestOverdue event);

        void onAttemptTimedOut(AttemptTimedOut event);

        void onWriteDeadlinePassed(WriteDeadlinePassed event);

        void onWatchRetryDue(WatchRetryDue event);

        void onPolicyTimerDue(PolicyTimerDue event);
    }

    /** The time by which the routing policy should have answered the request is over. */
    record RequestOverdue(OpenRequest request) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRequestOverdue(this);
        }
    }

    /** The time by which the attempt's response stream should have started is over. */
    record AttemptTimedOut(Attempt attempt) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptTimedOut(this);
        }
    }

    /** The time before which the attempt's request had to be written is over. */
    record WriteDeadlinePassed(Attempt attempt) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onWriteDeadlinePassed(this);
        }
    }

    /** The failed watch on the endpoint list is to be reopened. */
    record WatchRetryDue() implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onWatchRetryDue(this);
        }
    }

    /** A timer that was set by the routing policy, which identifies it by {@code token}. */
    record PolicyTimerDue(long token) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onPolicyTimerDue(this);
        }
    }
}
