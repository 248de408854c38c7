#include <Guavashift/Agent/HandOver.h>

namespace guavashift {

namespace {

/// Limit of the bodies of kept answers in one command.
constexpr std::size_t maxAnswerBytesPerCommand = 64 << 10;
constexpr std::size_t maxIdsPerCommand = 2'000;

} // namespace

std::vector<CommandBody> HandOver::commands(const WorkerId &worker) const
{
    std::vector<CommandBody> commands;
    for (std::size_t next = 0; next < answers.size();) {
        KeepAnswers command{incarnation, {}, {}};
        for (std::size_t bytes = 0; next < answers.size() && bytes < maxAnswerBytesPerCommand;) {
            bytes += answers[next].body.size();
            command.answers.push_back(answers[next++]);
        }
        commands.emplace_back(std::move(command));
    }
    for (std::size_t next = 0; next < withoutAnswer.size();) {
        const std::size_t end = std::min(next + maxIdsPerCommand, withoutAnswer.size());
        const auto first = withoutAnswer.begin();
        commands.emplace_back(KeepAnswers{
            incarnation,
            {},
            {first + static_cast<std::ptrdiff_t>(next), first + static_cast<std::ptrdiff_t>(end)}});
        next = end;
    }
    // Only once all that has run is known, the rest is known not to have run.
    commands.emplace_back(CloseAgent{worker, incarnation, oldestWindow});
    return commands;
}

} // namespace guavashift
