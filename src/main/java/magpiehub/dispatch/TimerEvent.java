package magpiehub.dispatch;

/** What happens when a timer of {@link RequestDispatcher} is due; one record and one handler method for each kind. */
sealed interface TimerEvent {
    /** Calls the handler's method for this kind of event. */
    void deliverTo(Handler handler);

    /** Handles each kind of event, on the dispatcher's thread. */
    interface Handler {
        void onRequestOverdue(RequestOverdue event);

        void onAttemptTimedOut(AttemptTimedOut event);

        void onWatchRetryDue(WatchRetryDue event);

        void onPolicyTimerDue(PolicyTimerDue event);
    }

    /** The routing policy should have answered this request by now. */
    record RequestOverdue(OpenRequest request) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onRequestOverdue(this);
        }
    }

    /** The stream of this attempt should have started by now. */
    record AttemptTimedOut(Attempt attempt) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onAttemptTimedOut(this);
        }
    }

    /** The watch of the endpoint list, which has failed, is to be opened again. */
    record WatchRetryDue() implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onWatchRetryDue(this);
        }
    }

    /** A timer that the routing policy has set; {@code token} is the policy's own. */
    record PolicyTimerDue(long token) implements TimerEvent {
        @Override
        public void deliverTo(Handler handler) {
            handler.onPolicyTimerDue(this);
        }
    }
}
