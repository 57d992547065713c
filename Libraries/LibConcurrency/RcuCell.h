#pragma once

#include <atomic>
#include <memory>
#include <urcu/urcu-memb.h>

namespace Concurrency {

/// Lets the calling thread read RcuCell objects while it lives.
///
/// Thread safety: made and destroyed by the thread that reads.
class RcuReader
{
public:
    RcuReader() { urcu_memb_register_thread(); }
    ~RcuReader() { urcu_memb_unregister_thread(); }
    RcuReader(const RcuReader &) = delete;
    RcuReader &operator=(const RcuReader &) = delete;
};

/// Holds one immutable value that many threads read without a lock while one thread replaces it.
///
/// What goes wrong with a lock instead: whoever replaces the value holds up every request that
/// comes meanwhile, which shows as a peak of the latency at each new snapshot.
template <typename Value>
class RcuCell
{
public:
    RcuCell() = default;
    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;
    /// Precondition: no thread reads any more.
    ~RcuCell() { delete current_.load(); }

    /// Replaces the value and waits until no reader can hold the old one, which is then destroyed.
    ///
    /// Thread safety: one thread at a time, never from within read().
    void publish(std::unique_ptr<const Value> value)
    {
        const Value *old = current_.exchange(value.release(), std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

    /// Calls \a use with a pointer to the value, or with nullptr before the first publish(), and
    /// returns what it returns. The pointer must not outlive the call, and \a use must not wait.
    ///
    /// Precondition: the calling thread has an RcuReader. Thread safety: any such thread.
    template <typename Use>
    auto read(Use use) const
    {
        const Section section;
        return use(current_.load(std::memory_order_acquire));
    }

private:
    struct Section
    {
        Section() { urcu_memb_read_lock(); }
        ~Section() { urcu_memb_read_unlock(); }
    };

    std::atomic<const Value *> current_{nullptr};
};

} // namespace Concurrency
